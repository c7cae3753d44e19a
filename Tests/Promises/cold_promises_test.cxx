#include "plain_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

using namespace daisystile;

namespace {

// The bound of the platform's contract on the requests that a cold server gets in any second.
constexpr double coldRequestsPerSecond = 10;
constexpr double overage = 1.5;
constexpr double slack = 5;
constexpr seconds window {1};

constexpr milliseconds coldFor {60'000};

/// Servers that are cold, and crash at a rate above what they state.
class cold_promises : public testing::Test
{
protected:
    monotonic_time now() const
    {
        return std::chrono::steady_clock::now();
    }

    void send(std::size_t daemon)
    {
        m_sent += 1;
        http_call call {.address = m_fleet->clientsAddress(daemon), .path = "/read/x", .timeout = seconds {3}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q" + std::to_string(m_sent)}, {"Deadline-Ms", "1400"}};
        m_fleet->control().start(std::move(call), [this](const http_result &result) { m_served += statusOf(result) == 200 ? 1 : 0; });
    }

    /// Sends requests to the daemons in turn.
    void run(milliseconds length, milliseconds interval, const std::vector<std::size_t> &daemons)
    {
        const auto begin = now();
        for (auto next = begin; now() - begin < length; next += interval) {
            send(daemons[m_sent % daemons.size()]);
            m_fleet->drainOutput();
            m_fleet->control().waitUntil([&] { return now() >= next; }, interval);
        }
    }

    void expectWithinBound(std::size_t server)
    {
        const auto times = m_fleet->servers()[server].process->runTimes();
        std::ptrdiff_t most = 0;
        for (const auto &from : times) {
            most = std::max(most, std::count_if(times.begin(), times.end(), [&](auto at) { return at >= from && at < from + window; }));
        }
        std::cout << "server " << server << ": at most " << most << " requests in a second" << std::endl;
        EXPECT_LE(static_cast<double>(most), coldRequestsPerSecond * overage + slack) << "server " << server;
    }

    bool evacuationSeen(std::size_t daemon, const failure_domain_name &domain)
    {
        std::vector<int> before;
        for (const auto &server : m_fleet->servers()) {
            before.push_back(server.process->arrivals());
        }
        run(milliseconds {100}, milliseconds {2}, {daemon});
        for (std::size_t i = 0; i < before.size(); ++i) {
            const auto &server = m_fleet->servers()[i];
            if (server.domain == domain && server.process->arrivals() > before[i]) {
                return false;
            }
        }
        return true;
    }

    std::unique_ptr<plain_fleet> m_fleet;
    std::size_t m_sent = 0;
    std::size_t m_served = 0;
};

} // namespace

// Each daemon took itself for the only one until ten seconds after its start, and what the whole fleet may send.
TEST_F(cold_promises, daemonsThatStartedWithoutTheStoreShareTheRateOfColdServers)
{
    constexpr seconds outage {4};
    m_fleet = std::make_unique<plain_fleet>(plain_fleet::layout {.daemons = 4, .logbookServers = 2, .coldRequestsPerSecond = coldRequestsPerSecond});
    ASSERT_TRUE(m_fleet->startStore());
    m_fleet->setStoreDown(true);
    ASSERT_TRUE(m_fleet->startProcesses());
    const auto returns = now() + outage;
    m_fleet->control().waitUntil([&] { return now() >= returns; });
    for (std::size_t i = 0; i < m_fleet->servers().size(); ++i) {
        m_fleet->registerServer(i, coldFor);
    }
    m_fleet->setStoreDown(false);
    // Also while the daemons aren't ready: clients may come all the same.
    run(seconds {5}, milliseconds {4}, {0, 1, 2, 3});
    ASSERT_TRUE(m_fleet->waitUntilReady());
    run(seconds {5}, milliseconds {4}, {0, 1, 2, 3});
    expectWithinBound(0);
    expectWithinBound(1);
    EXPECT_GT(m_served, 0U) << "the fleet is known some seconds after the store's return";
}

// The end of an evacuation was known before the servers were, which had become cold meanwhile.
TEST_F(cold_promises, serversThatBecameColdDuringAnEvacuationAreKnownWhenItEnds)
{
    constexpr std::size_t followsTheStore = 1;
    const failure_domain_name evacuated {"port"};
    m_fleet = std::make_unique<plain_fleet>(plain_fleet::layout {.daemons = 6, .logbookServers = 9, .coldRequestsPerSecond = coldRequestsPerSecond});
    ASSERT_TRUE(m_fleet->start());
    m_fleet->putText("evacuations/" + evacuated.value, "{}");
    ASSERT_TRUE(m_fleet->control().waitUntil([&] { return evacuationSeen(followsTheStore, evacuated); }));
    // A change of another server, after which the next ones are fetched together.
    m_fleet->registerServer(0, milliseconds {0});
    std::vector<std::size_t> cold;
    for (std::size_t i = 0; i < m_fleet->servers().size(); ++i) {
        if (m_fleet->servers()[i].domain == evacuated) {
            cold.push_back(i);
            m_fleet->registerServer(i, coldFor);
        }
    }
    const auto servedBefore = m_served;
    m_fleet->removeObject("evacuations/" + evacuated.value);
    run(seconds {2}, milliseconds {1}, {followsTheStore});
    for (const auto server : cold) {
        expectWithinBound(server);
        EXPECT_GT(m_fleet->servers()[server].process->arrivals(), 0) << "the evacuation has ended";
    }
    EXPECT_GT(m_served, servedBefore);
}
