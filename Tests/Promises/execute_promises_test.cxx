#include "fleet_fixture.h"

#include <csignal>
#include <iostream>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr std::size_t callsAtOnce = 50;

class execute_promises : public fleet_fixture
{
protected:
    std::string outcomeOf(const http_result &result)
    {
        return jsonOf(result).value("outcome", "");
    }

    // Resends the request through each running daemon in turn until its outcome is "done" or "unknown".
    std::string retryUntilSettled(const std::string &key)
    {
        std::string outcome;
        m_client.waitUntil([&] {
            for (const auto &name : daemonNames()) {
                if (daemonNamed(name).running()) {
                    outcome = outcomeOf(m_client.call(executeCall(name, "logbook", key)));
                }
            }
            return outcome == "done" || outcome == "unknown";
        });
        return outcome;
    }

    void checkStartCounts(const std::vector<std::string> &keys, const std::vector<http_result> &results)
    {
        const auto executions = serverRecords()["executions"];
        for (std::size_t i = 0; i < keys.size(); ++i) {
            const int starts = executions.contains(keys[i]) ? executions[keys[i]]["started"].get<int>() : 0;
            EXPECT_LE(starts, 1) << keys[i];
            EXPECT_FALSE(outcomeOf(results[i]) == "done" && starts == 0) << keys[i];
            EXPECT_FALSE(outcomeOf(results[i]) == "not_run" && starts > 0) << keys[i];
        }
    }
};

} // namespace

TEST_F(execute_promises, aResendThroughAnyDaemonRunsNothingAgain)
{
    startFleet();
    ASSERT_EQ(retryUntilSettled("k"), "done");
    const auto names = daemonNames();
    const auto first = jsonOf(m_client.call(executeCall(names[0], "logbook", "k")));
    for (const auto &name : names) {
        EXPECT_EQ(jsonOf(m_client.call(executeCall(name, "logbook", "k"))), first);
    }
    EXPECT_EQ(startCountOf("k"), 1);
}

TEST_F(execute_promises, refusalsDuringAnOutageThatSayNotRunAreTrue)
{
    startFleet();
    ASSERT_EQ(retryUntilSettled("warm-up"), "done");
    std::vector<http_call> calls;
    std::vector<std::string> keys;
    const auto names = daemonNames();
    for (int i = 0; i < 300; ++i) {
        keys.push_back("k" + std::to_string(i));
        calls.push_back(executeCall(names[static_cast<std::size_t>(i) % names.size()], "logbook", keys.back()));
    }
    setPlatformFaults({{"lose_answers_probability", 0.2}, {"seed", 3}});
    std::vector<http_call> callsDuringOutage(calls.begin() + 150, calls.end());
    calls.resize(150);
    auto results = m_client.callAll(std::move(calls), callsAtOnce);
    setPlatformFaults({{"down", true}});
    for (auto &result : m_client.callAll(std::move(callsDuringOutage), callsAtOnce)) {
        results.push_back(std::move(result));
    }
    checkStartCounts(keys, results);
    setPlatformFaults({{"down", false}, {"lose_answers_probability", 0}});
    EXPECT_NE(retryUntilSettled("k299"), "");
    EXPECT_LE(startCountOf("k299"), 1);
}

TEST_F(execute_promises, aKilledDaemonsRequestsRunAtMostOnce)
{
    startFleet();
    ASSERT_EQ(retryUntilSettled("warm-up"), "done");
    const auto names = daemonNames();
    std::vector<std::string> keys;
    std::size_t answered = 0;
    for (int i = 0; i < 200; ++i) {
        keys.push_back("k" + std::to_string(i));
        m_client.start(executeCall(names[static_cast<std::size_t>(i) % names.size()], "logbook", keys.back()), [&](const http_result &) { answered += 1; });
    }
    ASSERT_TRUE(m_client.waitUntil([&] { return answered > 20; }));
    daemonNamed(names[0]).signal(SIGKILL);
    m_client.send("DELETE", m_platform->address("control"), "/hosts/" + names[0], json::object());
    ASSERT_TRUE(m_client.waitUntil([&] { return answered == keys.size(); }));
    for (std::size_t i = 0; i < keys.size(); i += 10) {
        EXPECT_NE(retryUntilSettled(keys[i]), "") << keys[i];
    }
    const auto executions = serverRecords()["executions"];
    for (const auto &[key, record] : executions.items()) {
        EXPECT_EQ(record["started"], 1) << key;
    }
}

TEST_F(execute_promises, requestsShareThePlatformsWrites)
{
    startFleet();
    ASSERT_EQ(retryUntilSettled("warm-up"), "done");
    const auto names = daemonNames();
    const auto journalWrites = [&] {
        return platformCounters()["puts_by_prefix"].value("journal", 0);
    };
    const int before = journalWrites();
    static constexpr int perSecond = 200;
    static constexpr int count = 5 * perSecond;
    const auto start = std::chrono::steady_clock::now();
    int sent = 0;
    int done = 0;
    int completed = 0;
    ASSERT_TRUE(m_client.waitUntil([&] {
        const auto due = (std::chrono::steady_clock::now() - start) * perSecond / seconds {1};
        for (; sent < std::min<std::int64_t>(due, count); ++sent) {
            const auto &name = names[static_cast<std::size_t>(sent) % names.size()];
            m_client.start(executeCall(name, "logbook", "k" + std::to_string(sent)), [&](const http_result &result) {
                completed += 1;
                done += outcomeOf(result) == "done" ? 1 : 0;
            });
        }
        return completed == count;
    }));
    const double writes = static_cast<double>(journalWrites() - before) / count;
    RecordProperty("writes_per_execute", std::to_string(writes));
    std::cout << "writes per execute " << writes << ", done " << done << " of " << count << '\n';
    EXPECT_LT(writes, 0.2);
    EXPECT_GT(done, count * 99 / 100);
}
