#include "plain_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace daisystile;

// A daemon was ready while it took its share of the limits from the largest fleet, and refused what readiness had brought it.
TEST(ready_promises, daemonsThatStartedWithoutTheStoreServeOnceTheyAreReady)
{
    constexpr seconds outage {4};
    constexpr std::size_t requestsAtOnce = 6;
    plain_fleet fleet({.daemons = 3, .logbookServers = 6});
    fleet.setDelay(milliseconds {50});
    ASSERT_TRUE(fleet.startStore());
    fleet.setStoreDown(true);
    ASSERT_TRUE(fleet.startProcesses());
    const auto returns = std::chrono::steady_clock::now() + outage;
    fleet.control().waitUntil([&] { return std::chrono::steady_clock::now() >= returns; });
    for (std::size_t i = 0; i < fleet.servers().size(); ++i) {
        fleet.registerServer(i, milliseconds {0});
    }
    fleet.setStoreDown(false);
    ASSERT_TRUE(fleet.waitUntilReady());
    std::vector<http_call> calls;
    for (std::size_t i = 0; i < requestsAtOnce * fleet.daemonCount(); ++i) {
        http_call call {.address = fleet.clientsAddress(i % fleet.daemonCount()), .path = "/read/x", .timeout = seconds {3}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "r" + std::to_string(i)}, {"Deadline-Ms", "1400"}};
        calls.push_back(std::move(call));
    }
    const auto count = calls.size();
    const auto results = fleet.control().callAll(std::move(calls), count);
    EXPECT_EQ(std::count_if(results.begin(), results.end(), [](const auto &result) { return statusOf(result) == 200; }), static_cast<std::ptrdiff_t>(count));
}
