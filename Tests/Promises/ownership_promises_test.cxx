#include "fleet_fixture.h"

#include <csignal>
#include <sstream>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr std::size_t callsAtOnce = 12;
constexpr int slots = 3;
constexpr int connections = 30;
constexpr int drainLimitMs = 3000;
constexpr double serversPerDomain = 10;
constexpr const char *serviceName = "marshal-desk";
constexpr const char *firstDomain = "sfax-medina";

class ownership_promises : public fleet_fixture
{
protected:
    void startTwoDaemonsPerDomain()
    {
        fleet_layout layout;
        layout.services = {{.name = serviceName, .shards = 10, .slots = slots, .connections = connections, .latencyMs = 2}};
        layout.daemonsPerDomain = 2;
        startFleet(layout);
        for (const auto &name : daemonNames()) {
            if (name.find(firstDomain) != std::string::npos) {
                m_observedDaemons.push_back(name);
            }
        }
        ASSERT_EQ(m_observedDaemons.size(), 2U);
        ASSERT_TRUE(waitForOwnership([this] { return ownedServers(m_observedDaemons[0]) + ownedServers(m_observedDaemons[1]) == serversPerDomain; }));
    }

    double ownedServers(const std::string &name)
    {
        const auto result = m_client.call({.address = daemonNamed(name).address("callers"), .path = "/metrics"});
        const auto *reply = std::get_if<http_reply>(&result);
        std::istringstream lines(reply ? reply->body : "");
        const std::string key = "daisystile_owned_servers ";
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind(key, 0) == 0) {
                return std::stod(line.substr(key.size()));
            }
        }
        return -1;
    }

    bool waitForOwnership(const std::function<bool()> &condition)
    {
        return m_client.waitUntil([&] {
            queryOtherDaemons(1);
            return condition();
        });
    }

    /// Sends queries through the daemons outside m_observedDaemons and returns their answers.
    std::vector<json> queryOtherDaemons(int queriesPerDaemon)
    {
        std::vector<http_call> calls;
        for (int i = 0; i < queriesPerDaemon; ++i) {
            for (const auto &name : daemonNames()) {
                if (std::find(m_observedDaemons.begin(), m_observedDaemons.end(), name) == m_observedDaemons.end()) {
                    calls.push_back(queryCall(name, serviceName, "q" + std::to_string(m_queriesSent++)));
                }
            }
        }
        std::vector<json> answers;
        for (const auto &result : m_client.callAll(std::move(calls), callsAtOnce)) {
            answers.push_back(jsonOf(result));
        }
        return answers;
    }

    /// Sends queries through the other daemons for the duration.
    void sendQueriesFor(milliseconds duration)
    {
        const auto deadline = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < deadline) {
            queryOtherDaemons(callsAtOnce / 4);
        }
    }

    /// Returns the largest value of a counter over all servers, taken from the servers' own records.
    int largestCounter(const std::string &counter)
    {
        int largest = 0;
        const auto records = serverRecords();
        for (const auto &[id, server] : records["servers"].items()) {
            largest = std::max(largest, server[counter].get<int>());
        }
        return largest;
    }

    std::vector<std::string> m_observedDaemons;
    int m_queriesSent = 0;
};

} // namespace

TEST_F(ownership_promises, crashedDaemonsServersAreTakenOverAndNeverOverloaded)
{
    startTwoDaemonsPerDomain();
    sendQueriesFor(seconds {2});
    daemonNamed(m_observedDaemons[0]).signal(SIGKILL);
    EXPECT_TRUE(waitForOwnership([this] { return ownedServers(m_observedDaemons[1]) == serversPerDomain; }));
    sendQueriesFor(seconds {1});
    EXPECT_GT(largestCounter("most_running"), 0);
    EXPECT_LE(largestCounter("most_running"), slots);
    EXPECT_LE(largestCounter("most_connections"), connections);
}

TEST_F(ownership_promises, stoppedOwnerThatContinuesAddsNothing)
{
    startTwoDaemonsPerDomain();
    sendQueriesFor(seconds {2});
    const auto before = ownedServers(m_observedDaemons[0]);
    daemonNamed(m_observedDaemons[0]).pause();
    EXPECT_TRUE(waitForOwnership([this] { return ownedServers(m_observedDaemons[1]) == serversPerDomain; }));
    daemonNamed(m_observedDaemons[0]).resume();
    EXPECT_TRUE(
        waitForOwnership([&] { return ownedServers(m_observedDaemons[0]) == before && ownedServers(m_observedDaemons[1]) == serversPerDomain - before; }));
    sendQueriesFor(seconds {1});
    EXPECT_GT(largestCounter("most_running"), 0);
    EXPECT_LE(largestCounter("most_running"), slots);
    EXPECT_LE(largestCounter("most_connections"), connections);
}

TEST_F(ownership_promises, leavingServerGetsNothingNewAfterAFewSeconds)
{
    startTwoDaemonsPerDomain();
    sendQueriesFor(seconds {1});
    setServerFaults({{"draining", true}, {"lie", true}}, {{"domains", json::array({firstDomain})}});
    sendQueriesFor(seconds {8});
    double drainingServers = 0;
    const auto records = serverRecords();
    for (const auto &[id, server] : records["servers"].items()) {
        if (server["domain"] == firstDomain) {
            drainingServers += 1;
            EXPECT_LE(server["last_after_mark_ms"], drainLimitMs) << id;
        }
    }
    EXPECT_EQ(drainingServers, serversPerDomain);
}

TEST_F(ownership_promises, failureDomainThatRestartsColdIsNeverOverloaded)
{
    startTwoDaemonsPerDomain();
    setServerFaults({{"warm_up_ms", 5000}});
    sendQueriesFor(seconds {12});
    setServerFaults({{"crash", true}}, {{"domains", json::array({firstDomain})}});
    sendQueriesFor(seconds {12});
    EXPECT_EQ(largestCounter("over_capacity_while_cold"), 0);
    EXPECT_GT(largestCounter("restarts"), 0);
    for (const auto &answer : queryOtherDaemons(3)) {
        EXPECT_EQ(answer["coverage"]["covered"], 10);
    }
}
