#include "../Promises/child_process.h"
#include "../Promises/test_client.h"

#include <Version/version.h>

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <random>
#include <set>

using namespace daisystile;

namespace {

constexpr unsigned daemonCount = 6;
constexpr unsigned domainCount = 3;
constexpr unsigned operatorCount = 3;
constexpr unsigned changeCount = 200;
constexpr std::uint64_t seed = 5;
const std::string token = "operators-token";

const std::string serviceText = R"(name = "marshal-desk"
kind = "query"
snapshot = "s-1"
map_version = 1
[[servers]]
id = "md-0"
failure_domain = "domain-0"
address = "127.0.0.1:7000"
[[shards]]
replicas = ["md-0"]
)";

std::string contractText(unsigned rate)
{
    return "customer = \"ben-salah\"\ntoken_digests = [\"" + sha256Hex("caller")
        + "\"]\nservices = [\"marshal-desk\"]\nurgency = \"normal\"\nrate_per_second = " + std::to_string(rate + 1)
        + "\nburst = 5\nconcurrency = 5\nwait_ms = 500\n";
}

std::string domainOf(unsigned index)
{
    return "domain-" + std::to_string(index % domainCount);
}

/// Daemons in three failure domains that share one platform, and operators that change the same contract concurrently.
class config_changes : public testing::Test
{
protected:
    void SetUp() override
    {
        m_platform = std::make_unique<child_process>("platform-standin", std::vector<std::string> {}, testing::TempDir() + "changes-platform.err");
        ASSERT_TRUE(m_platform->waitReady());
        m_daemons.resize(daemonCount);
        m_lastNumbers.resize(daemonCount);
        for (unsigned index = 0; index < daemonCount; ++index) {
            startDaemon(index);
        }
        ASSERT_TRUE(waitAll([](const nlohmann::json &status) { return status.value("ready", false); }));
        ASSERT_EQ(statusOf(change("services/marshal-desk", "first", 0, serviceText, 0)), 200);
        ASSERT_TRUE(waitAll([](const nlohmann::json &status) { return status["services"].size() == 1; }));
    }

    void startDaemon(unsigned index)
    {
        const auto id = "daemon-" + std::to_string(index);
        const auto file = testing::TempDir() + "changes-" + id + ".toml";
        std::ofstream(file) << "id = \"" << id << "\"\nfailure_domain = \"" << domainOf(index) << "\"\nregion = \"sfax\"\ncallers = \"127.0.0.1:0\"\n"
                            << "operators = \"127.0.0.1:0\"\ntraffic = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\nplatform = \""
                            << toString(m_platform->address("http")) << "\"\npeer_key = \"0123456789abcdef\"\noperator_token_digest = \"" << sha256Hex(token)
                            << "\"\n";
        m_daemons[index] = std::make_unique<child_process>("daisystiled", std::vector<std::string> {"--config", file}, file + ".err");
        ASSERT_TRUE(m_daemons[index]->waitReady());
        m_lastNumbers[index] = 0;
        const nlohmann::json host {{"id", id},
            {"domain", domainOf(index)},
            {"region", "sfax"},
            {"traffic", toString(m_daemons[index]->address("traffic"))},
            {"control", toString(m_daemons[index]->address("control"))},
            {"state", "live"}};
        m_client.send("PUT", m_platform->address("control"), "/hosts/" + id, host);
    }

    void setFaults(const nlohmann::json &settings)
    {
        m_client.send("POST", m_platform->address("control"), "/control/faults", settings);
    }

    http_call adminCall(unsigned daemon, const std::string &method, const std::string &path)
    {
        return {.method = method,
            .address = m_daemons[daemon]->address("operators"),
            .path = "/v1/admin/" + path,
            .headers = {{"Authorization", "Bearer " + token}, {"Operator", "amel"}},
            .timeout = seconds {15}};
    }

    http_call changeCall(const std::string &path, const std::string &id, std::uint64_t expected, const std::string &text, unsigned daemon)
    {
        auto call = adminCall(daemon, "PUT", path);
        call.headers.push_back({"Change-Id", id});
        call.headers.push_back({"Expected-Version", std::to_string(expected)});
        call.body = text;
        return call;
    }

    http_result change(const std::string &path, const std::string &id, std::uint64_t expected, const std::string &text, unsigned daemon)
    {
        return m_client.call(changeCall(path, id, expected, text, daemon));
    }

    /// Reads the status of every daemon and checks that its configuration number never decreased.
    std::vector<nlohmann::json> statuses()
    {
        std::vector<http_call> calls;
        for (unsigned index = 0; index < daemonCount; ++index) {
            calls.push_back(adminCall(index, "GET", "status"));
        }
        std::vector<nlohmann::json> result;
        for (const auto &reply : m_client.callAll(std::move(calls), daemonCount)) {
            const auto status = jsonOf(reply);
            const auto number = status.is_object() ? status.value("number", std::uint64_t {0}) : 0;
            if (status.is_object()) {
                EXPECT_GE(number, m_lastNumbers[result.size()]) << "daemon " << result.size() << " reverted to an older configuration";
                m_lastNumbers[result.size()] = number;
            }
            result.push_back(status);
        }
        return result;
    }

    bool waitAll(const std::function<bool(const nlohmann::json &)> &holds)
    {
        const auto end = std::chrono::steady_clock::now() + seconds {30};
        while (std::chrono::steady_clock::now() < end) {
            const auto all = statuses();
            if (std::all_of(all.begin(), all.end(), [&](const nlohmann::json &status) { return status.is_object() && holds(status); })) {
                return true;
            }
        }
        return false;
    }

    /// Sends the next change of one operator to a randomly chosen daemon.
    void nextChange(unsigned operatorIndex)
    {
        if (m_startedChanges == changeCount) {
            m_finishedOperators += 1;
            return;
        }
        const auto number = m_startedChanges++;
        send(operatorIndex, "change-" + std::to_string(number), number, false);
    }

    void send(unsigned operatorIndex, const std::string &id, unsigned rate, bool resent)
    {
        const auto daemon = static_cast<unsigned>(m_random() % daemonCount);
        auto call = changeCall("contracts/ben-salah", id, m_expectedVersions[operatorIndex], contractText(rate), daemon);
        if (resent) {
            call.headers.push_back({"Resend", "1"});
        }
        m_client.start(std::move(call), [this, operatorIndex, id, rate](const http_result &result) { answered(operatorIndex, id, rate, result); });
    }

    void answered(unsigned operatorIndex, const std::string &id, unsigned rate, const http_result &result)
    {
        const auto reply = jsonOf(result);
        const auto outcome = reply.is_object() ? reply.value("outcome", "") : "unknown";
        m_outcomes[outcome] += 1;
        if (outcome == "accepted") {
            m_accepted.insert(id);
            m_expectedVersions[operatorIndex] = reply.value("version", std::uint64_t {0});
            m_newestNumber = std::max(m_newestNumber, reply.value("number", std::uint64_t {0}));
            nextChange(operatorIndex);
        } else if (outcome == "conflict") {
            // The operator repeats its change on top of the newest version.
            m_expectedVersions[operatorIndex] = reply.value("version", std::uint64_t {0});
            send(operatorIndex, id, rate, false);
        } else {
            send(operatorIndex, id, rate, true);
        }
    }

    void injectFault(unsigned faultIndex)
    {
        switch (faultIndex % 6) {
        case 0:
            setFaults({{"lose_answers_next", 3}});
            break;
        case 1:
            setFaults({{"down", "unavailable"}});
            break;
        case 2:
            setFaults({{"down", "none"}, {"cut_domains", {domainOf(faultIndex)}}});
            break;
        case 3:
            m_daemons[m_random() % daemonCount]->signal(SIGTERM);
            break;
        case 4:
            restartEndedDaemons();
            setFaults({{"down", "reset"}, {"cut_domains", nlohmann::json::array()}});
            break;
        default:
            setFaults({{"down", "none"}});
        }
    }

    void restartEndedDaemons()
    {
        for (unsigned index = 0; index < daemonCount; ++index) {
            if (!m_daemons[index]->running()) {
                startDaemon(index);
            }
        }
    }

    test_client m_client;
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<child_process>> m_daemons;
    std::vector<std::uint64_t> m_lastNumbers;
    std::mt19937_64 m_random {seed};
    std::array<std::uint64_t, operatorCount> m_expectedVersions {};
    std::set<std::string> m_accepted;
    std::map<std::string, unsigned> m_outcomes;
    std::uint64_t m_newestNumber = 0;
    unsigned m_startedChanges = 0;
    unsigned m_finishedOperators = 0;
};

} // namespace

TEST_F(config_changes, areNeitherLostNorRevertedByConcurrentOperatorsUnderFaults)
{
    for (unsigned operatorIndex = 0; operatorIndex < operatorCount; ++operatorIndex) {
        nextChange(operatorIndex);
    }
    unsigned faultIndex = 0;
    for (auto accepted = m_accepted.size(); m_finishedOperators < operatorCount; accepted = m_accepted.size()) {
        ASSERT_LT(faultIndex, changeCount) << "only " << m_accepted.size() << " changes were accepted";
        injectFault(faultIndex++);
        m_client.waitUntil([&] { return m_finishedOperators == operatorCount || m_accepted.size() >= accepted + 8; }, seconds {1});
        statuses();
    }
    setFaults({{"down", "none"}, {"cut_domains", nlohmann::json::array()}});
    restartEndedDaemons();
    const auto healed = std::chrono::steady_clock::now();
    EXPECT_TRUE(
        waitAll([this](const nlohmann::json &status) { return status.value("ready", false) && status.value("number", std::uint64_t {0}) >= m_newestNumber; }));
    const auto spent = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - healed);
    EXPECT_EQ(m_accepted.size(), changeCount);
    const auto head = m_client.get(m_platform->address("control"), "/control/objects/catalog/head");
    EXPECT_EQ(head.value("number", 0U), changeCount + 1) << "a change was accepted twice or lost";
    for (const auto &status : statuses()) {
        EXPECT_EQ(status["contracts"][0]["version"], changeCount);
    }
    std::cout << "in force everywhere " << spent.count() << " ms after the last fault ended; outcomes:";
    for (const auto &[outcome, count] : m_outcomes) {
        std::cout << " " << outcome << " " << count;
    }
    std::cout << "\n";
}
