#include "fleet_fixture.h"

#include <csignal>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr std::size_t callsAtOnce = 12;
constexpr int shards = 10;
constexpr int outLimitMs = 3000;
constexpr const char *serviceName = "marshal-desk";
constexpr const char *movingDomain = "sfax-port";

class domain_promises : public fleet_fixture
{
protected:
    static json movingOnly()
    {
        return {{"domains", json::array({movingDomain})}};
    }

    void setDomainOut(bool out)
    {
        std::string text;
        for (const auto &domain : m_shape.domains) {
            const bool isOut = out && domain == movingDomain;
            text += "[[domains]]\nname = \"" + domain + "\"\nregion = \"sfax\"\nout = " + (isOut ? "true" : "false") + "\n";
        }
        writeConfig("domains", "fleet", text);
    }

    bool isReady(const std::string &name)
    {
        return statusOf(m_client.call({.address = daemonNamed(name).address("callers"), .path = "/healthz/ready"})) == 200;
    }

    std::string movingDaemon()
    {
        for (const auto &name : daemonNames()) {
            if (name.find(movingDomain) != std::string::npos) {
                return name;
            }
        }
        return {};
    }

    // Queries through every daemon until the time has passed; those with fewer shards than all are counted.
    void askFor(milliseconds duration)
    {
        const auto until = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < until) {
            std::vector<http_call> calls;
            for (const auto &name : daemonNames()) {
                if (name == m_leaving) {
                    continue;
                }
                calls.push_back(queryCall(name, serviceName, "q" + std::to_string(m_asked++)));
            }
            for (const auto &result : m_client.callAll(std::move(calls), callsAtOnce)) {
                const auto answer = jsonOf(result);
                m_answers += 1;
                m_covered += statusOf(result) == 200 ? answer["coverage"]["covered"].get<int>() : 0;
            }
        }
    }

    int sumOf(const std::string &count)
    {
        int sum = 0;
        const auto records = serverRecords();
        for (const auto &[id, server] : records["servers"].items()) {
            sum += server["domain"] == movingDomain ? server[count].get<int>() : 0;
        }
        return sum;
    }

    int latestMs()
    {
        int latest = -1;
        const auto records = serverRecords();
        for (const auto &[id, server] : records["servers"].items()) {
            if (server["domain"] == movingDomain) {
                latest = std::max(latest, server["last_after_mark_ms"].get<int>());
            }
        }
        return latest;
    }

    std::string domainOf(const std::string &name) const
    {
        for (const auto &domain : m_shape.domains) {
            if (name.find(domain) != std::string::npos) {
                return domain;
            }
        }
        return {};
    }

    // A daemon that the balancer sends nobody to.
    std::string m_leaving;
    int m_asked = 0;
    int m_answers = 0;
    int m_covered = 0;
};

} // namespace

TEST_F(domain_promises, aDomainTakenOutGetsNothingNewAndComesBack)
{
    fleet_shape shape;
    shape.services = {{.name = serviceName, .shards = shards, .latencyMs = 2}};
    startFleet(shape);
    ASSERT_TRUE(m_client.waitUntil([this] {
        askFor(milliseconds {1});
        return sumOf("answered") > 0;
    }));
    askFor(seconds {2});
    m_answers = 0;
    m_covered = 0;

    serverControl("/control/mark", movingOnly());
    setDomainOut(true);
    askFor(seconds {7});
    EXPECT_LE(latestMs(), outLimitMs);
    EXPECT_FALSE(isReady(movingDaemon()));
    for (const auto &name : daemonNames()) {
        EXPECT_EQ(isReady(name), name != movingDaemon()) << name;
    }

    const int before = sumOf("answered");
    setDomainOut(false);
    EXPECT_TRUE(m_client.waitUntil([&] {
        askFor(milliseconds {1});
        return isReady(movingDaemon()) && sumOf("answered") > before;
    }));
    askFor(seconds {2});
    EXPECT_EQ(sumOf("over_capacity_while_cold"), 0);
    // The users' bound on coverage while a domain leaves and returns, over all answers.
    EXPECT_GE(m_covered, 0.999 * shards * m_answers);
    EXPECT_GT(m_answers, 100);
}

TEST_F(domain_promises, aRollingReplacementOfAllDaemonsKeepsCoverage)
{
    fleet_shape shape;
    shape.services = {{.name = serviceName, .shards = shards, .latencyMs = 2}};
    shape.daemonsPerDomain = 2;
    startFleet(shape);
    askFor(seconds {4});
    m_answers = 0;
    m_covered = 0;
    const auto names = daemonNames();
    for (const auto &name : names) {
        m_leaving = name;
        daemonNamed(name).signal(SIGTERM);
        askFor(seconds {1});
        EXPECT_EQ(daemonNamed(name).waitExit(seconds {20}), 0) << name;
        startDaemon(name, domainOf(name));
        registerHost(name);
        EXPECT_TRUE(m_client.waitUntil([&] {
            askFor(milliseconds {1});
            return isReady(name);
        }));
        m_leaving.clear();
    }
    EXPECT_EQ(sumOf("over_capacity_while_cold"), 0);
    EXPECT_GE(m_covered, 0.999 * shards * m_answers);
    EXPECT_GT(m_answers, 100);
}
