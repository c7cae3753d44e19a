#include "plain_fleet.h"

#include <gtest/gtest.h>

#include <iostream>

using namespace daisystile;

namespace {

// The defaults of the settings: extra attempts that a service may get, as a ratio of its requests and beyond that.
constexpr double retryRatio = 0.2;
constexpr double retrySlack = 50;
constexpr int queries = 500;
constexpr milliseconds queryInterval {12};

} // namespace

// The parts run in another failure domain, whose servers refuse them; the daemon that has delegated them tries them again.
TEST(budget_promises, partsThatAnotherDaemonsServersRefusedAreRetriedWithinTheBudget)
{
    // A server for each shard, all in the first daemon's failure domain.
    plain_fleet fleet({.daemons = 2, .shards = 4, .serversPerShard = 1});
    ASSERT_TRUE(fleet.start());
    auto &client = fleet.control();
    const auto send = [&](int number) {
        http_call call {.address = fleet.clientsAddress(1), .path = "/find/x" + std::to_string(number), .timeout = seconds {3}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q" + std::to_string(number)}, {"Deadline-Ms", "1400"}};
        return call;
    };
    const auto delegated = [&] {
        const auto result = client.call({.address = fleet.readinessAddress(1), .path = "/metrics"});
        const auto *reply = std::get_if<http_reply>(&result);
        return reply != nullptr && reply->body.find("daisystile_delegations_total{outcome=\"answered\"} 0") == std::string::npos;
    };
    int number = 0;
    ASSERT_TRUE(client.waitUntil([&] {
        client.call(send(number++));
        return delegated();
    })) << "nothing is delegated";
    std::vector<int> before;
    for (const auto &server : fleet.servers()) {
        server.process->setResponseMode(backend_response_mode::not_executed);
        before.push_back(server.process->arrivals());
    }
    for (int i = 0; i < queries; ++i) {
        client.start(send(number++), [](const http_result &) {});
        client.waitUntil([] { return false; }, queryInterval);
        fleet.drainOutput();
    }
    client.waitUntil([] { return false; }, seconds {2});
    for (std::size_t i = 0; i < fleet.servers().size(); ++i) {
        const int extra = fleet.servers()[i].process->arrivals() - before[i] - queries;
        std::cout << "shard " << i << ": extra arrivals " << extra << std::endl;
        EXPECT_LE(extra, retryRatio * queries + retrySlack);
    }
}
