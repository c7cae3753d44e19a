#include "fleet_fixture.h"

#include <csignal>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr std::size_t callsAtOnce = 12;
constexpr int shards = 10;
constexpr int drainLimitMs = 3000;
constexpr const char *serviceName = "marshal-desk";
constexpr const char *drainedDomain = "sfax-port";

class domain_promises : public fleet_fixture
{
protected:
    static json drainedDomainSelector()
    {
        return {{"domains", json::array({drainedDomain})}};
    }

    void setDomainOut(bool out)
    {
        std::string text;
        for (const auto &domain : m_layout.domains) {
            const bool domainIsOut = out && domain == drainedDomain;
            text += "[[domains]]\nname = \"" + domain + "\"\nregion = \"sfax\"\nout = " + (domainIsOut ? "true" : "false") + "\n";
        }
        writeConfig("domains", "fleet", text);
    }

    bool isReady(const std::string &name)
    {
        return statusOf(m_client.call({.address = daemonNamed(name).address("callers"), .path = "/healthz/ready"})) == 200;
    }

    std::string drainedDomainDaemon()
    {
        for (const auto &name : daemonNames()) {
            if (name.find(drainedDomain) != std::string::npos) {
                return name;
            }
        }
        return {};
    }

    // Sends queries through all daemons except m_replacedDaemon for the duration and adds up the answers and the shards
    // they cover; a failed query covers none.
    void sendQueriesFor(milliseconds duration)
    {
        const auto deadline = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < deadline) {
            std::vector<http_call> calls;
            for (const auto &name : daemonNames()) {
                if (name == m_replacedDaemon) {
                    continue;
                }
                calls.push_back(queryCall(name, serviceName, "q" + std::to_string(m_queriesSent++)));
            }
            for (const auto &result : m_client.callAll(std::move(calls), callsAtOnce)) {
                const auto answer = jsonOf(result);
                m_answerCount += 1;
                m_coveredShards += statusOf(result) == 200 ? answer["coverage"]["covered"].get<int>() : 0;
            }
        }
    }

    int sumOfCounter(const std::string &counter)
    {
        int sum = 0;
        const auto records = serverRecords();
        for (const auto &[id, server] : records["servers"].items()) {
            sum += server["domain"] == drainedDomain ? server[counter].get<int>() : 0;
        }
        return sum;
    }

    int lastRequestAfterMarkMs()
    {
        int latest = -1;
        const auto records = serverRecords();
        for (const auto &[id, server] : records["servers"].items()) {
            if (server["domain"] == drainedDomain) {
                latest = std::max(latest, server["last_after_mark_ms"].get<int>());
            }
        }
        return latest;
    }

    std::string domainOf(const std::string &name) const
    {
        for (const auto &domain : m_layout.domains) {
            if (name.find(domain) != std::string::npos) {
                return domain;
            }
        }
        return {};
    }

    // The daemon that is being replaced, to which the load balancer routes no requests.
    std::string m_replacedDaemon;
    int m_queriesSent = 0;
    int m_answerCount = 0;
    int m_coveredShards = 0;
};

} // namespace

TEST_F(domain_promises, aDomainTakenOutGetsNothingNewAndComesBack)
{
    fleet_layout layout;
    layout.services = {{.name = serviceName, .shards = shards, .latencyMs = 2}};
    startFleet(layout);
    ASSERT_TRUE(m_client.waitUntil([this] {
        sendQueriesFor(milliseconds {1});
        return sumOfCounter("answered") > 0;
    }));
    sendQueriesFor(seconds {2});
    m_answerCount = 0;
    m_coveredShards = 0;

    serverControl("/control/mark", drainedDomainSelector());
    setDomainOut(true);
    sendQueriesFor(seconds {7});
    EXPECT_LE(lastRequestAfterMarkMs(), drainLimitMs);
    EXPECT_FALSE(isReady(drainedDomainDaemon()));
    for (const auto &name : daemonNames()) {
        EXPECT_EQ(isReady(name), name != drainedDomainDaemon()) << name;
    }

    const int before = sumOfCounter("answered");
    setDomainOut(false);
    EXPECT_TRUE(m_client.waitUntil([&] {
        sendQueriesFor(milliseconds {1});
        return isReady(drainedDomainDaemon()) && sumOfCounter("answered") > before;
    }));
    sendQueriesFor(seconds {2});
    EXPECT_EQ(sumOfCounter("over_capacity_while_cold"), 0);
    // The required mean coverage over all answers while a failure domain is taken out and put back.
    EXPECT_GE(m_coveredShards, 0.999 * shards * m_answerCount);
    EXPECT_GT(m_answerCount, 100);
}

TEST_F(domain_promises, aRollingReplacementOfAllDaemonsKeepsCoverage)
{
    fleet_layout layout;
    layout.services = {{.name = serviceName, .shards = shards, .latencyMs = 2}};
    layout.daemonsPerDomain = 2;
    startFleet(layout);
    sendQueriesFor(seconds {4});
    m_answerCount = 0;
    m_coveredShards = 0;
    const auto names = daemonNames();
    for (const auto &name : names) {
        m_replacedDaemon = name;
        daemonNamed(name).signal(SIGTERM);
        sendQueriesFor(seconds {1});
        EXPECT_EQ(daemonNamed(name).waitExit(seconds {20}), 0) << name;
        startDaemon(name, domainOf(name));
        registerHost(name);
        EXPECT_TRUE(m_client.waitUntil([&] {
            sendQueriesFor(milliseconds {1});
            return isReady(name);
        }));
        m_replacedDaemon.clear();
    }
    EXPECT_EQ(sumOfCounter("over_capacity_while_cold"), 0);
    EXPECT_GE(m_coveredShards, 0.999 * shards * m_answerCount);
    EXPECT_GT(m_answerCount, 100);
}
