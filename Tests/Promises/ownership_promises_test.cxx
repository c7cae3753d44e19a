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
    void startPairs()
    {
        fleet_shape shape;
        shape.services = {{.name = serviceName, .shards = 10, .slots = slots, .connections = connections, .latencyMs = 2}};
        shape.daemonsPerDomain = 2;
        startFleet(shape);
        for (const auto &name : daemonNames()) {
            if (name.find(firstDomain) != std::string::npos) {
                m_pair.push_back(name);
            }
        }
        ASSERT_EQ(m_pair.size(), 2U);
        ASSERT_TRUE(waitOwned([this] { return owned(m_pair[0]) + owned(m_pair[1]) == serversPerDomain; }));
    }

    double owned(const std::string &name)
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

    bool waitOwned(const std::function<bool()> &condition)
    {
        return m_client.waitUntil([&] {
            askOthers(1);
            return condition();
        });
    }

    /// Queries through the daemons that are not of the pair, each answered with what it covers.
    std::vector<json> askOthers(int rounds)
    {
        std::vector<http_call> calls;
        for (int i = 0; i < rounds; ++i) {
            for (const auto &name : daemonNames()) {
                if (std::find(m_pair.begin(), m_pair.end(), name) == m_pair.end()) {
                    calls.push_back(queryCall(name, serviceName, "q" + std::to_string(m_asked++)));
                }
            }
        }
        std::vector<json> answers;
        for (const auto &result : m_client.callAll(std::move(calls), callsAtOnce)) {
            answers.push_back(jsonOf(result));
        }
        return answers;
    }

    /// Asks until the time has passed.
    void askFor(milliseconds duration)
    {
        const auto until = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < until) {
            askOthers(callsAtOnce / 4);
        }
    }

    /// The largest of a count over all servers, by the servers' own records.
    int most(const std::string &count)
    {
        int largest = 0;
        const auto records = serverRecords();
        for (const auto &[id, server] : records["servers"].items()) {
            largest = std::max(largest, server[count].get<int>());
        }
        return largest;
    }

    std::vector<std::string> m_pair;
    int m_asked = 0;
};

} // namespace

TEST_F(ownership_promises, crashedDaemonsServersAreTakenOverAndNeverOverloaded)
{
    startPairs();
    askFor(seconds {2});
    daemonNamed(m_pair[0]).signal(SIGKILL);
    EXPECT_TRUE(waitOwned([this] { return owned(m_pair[1]) == serversPerDomain; }));
    askFor(seconds {1});
    EXPECT_GT(most("most_running"), 0);
    EXPECT_LE(most("most_running"), slots);
    EXPECT_LE(most("most_connections"), connections);
}

TEST_F(ownership_promises, stoppedOwnerThatContinuesAddsNothing)
{
    startPairs();
    askFor(seconds {2});
    const auto before = owned(m_pair[0]);
    daemonNamed(m_pair[0]).pause();
    EXPECT_TRUE(waitOwned([this] { return owned(m_pair[1]) == serversPerDomain; }));
    daemonNamed(m_pair[0]).resume();
    EXPECT_TRUE(waitOwned([&] { return owned(m_pair[0]) == before && owned(m_pair[1]) == serversPerDomain - before; }));
    askFor(seconds {1});
    EXPECT_GT(most("most_running"), 0);
    EXPECT_LE(most("most_running"), slots);
    EXPECT_LE(most("most_connections"), connections);
}

TEST_F(ownership_promises, leavingServerGetsNothingNewAfterAFewSeconds)
{
    startPairs();
    askFor(seconds {1});
    serverFaults({{"draining", true}, {"lie", true}}, {{"domains", json::array({firstDomain})}});
    askFor(seconds {8});
    double drained = 0;
    const auto records = serverRecords();
    for (const auto &[id, server] : records["servers"].items()) {
        if (server["domain"] == firstDomain) {
            drained += 1;
            EXPECT_LE(server["last_after_mark_ms"], drainLimitMs) << id;
        }
    }
    EXPECT_EQ(drained, serversPerDomain);
}

TEST_F(ownership_promises, failureDomainThatRestartsColdIsNeverOverloaded)
{
    startPairs();
    serverFaults({{"warm_up_ms", 5000}});
    askFor(seconds {12});
    serverFaults({{"crash", true}}, {{"domains", json::array({firstDomain})}});
    askFor(seconds {12});
    EXPECT_EQ(most("over_capacity_while_cold"), 0);
    EXPECT_GT(most("restarts"), 0);
    for (const auto &answer : askOthers(3)) {
        EXPECT_EQ(answer["coverage"]["covered"], 10);
    }
}
