#include "fleet_fixture.h"

#include <csignal>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr std::size_t callsAtOnce = 20;

class query_promises : public fleet_fixture
{
protected:
    std::vector<http_call> queryCalls(int count)
    {
        std::vector<http_call> calls;
        calls.reserve(static_cast<std::size_t>(count));
        const auto names = daemonNames();
        for (int i = 0; i < count; ++i) {
            calls.push_back(queryCall(names[static_cast<std::size_t>(i) % names.size()], "marshal-desk", "q" + std::to_string(i)));
        }
        return calls;
    }

    // Waits for full coverage through each daemon: at start, owners need time until they serve every server.
    bool waitForFullCoverage()
    {
        return m_client.waitUntil([&] {
            bool fullCoverage = true;
            for (const auto &name : daemonNames()) {
                const auto coverage = jsonOf(m_client.call(queryCall(name, "marshal-desk", "warm-up")))["coverage"];
                fullCoverage = fullCoverage && coverage.is_object() && coverage["covered"] == coverage["shards"];
            }
            return fullCoverage;
        });
    }

    // Computes the row id that a shard returns for a query in a snapshot; must match the stand-in.
    static std::string rowId(const std::string &text, const std::string &snapshot, unsigned shard, unsigned row)
    {
        const auto hash = stableHash(std::to_string(shard * rowsPerShard + row), stableHash(snapshot, stableHash(text)));
        return "s" + std::to_string(shard) + "-" + std::to_string(hash % 1000000);
    }

    // Checks that every row belongs to this query in the stated snapshot and that the coverage matches the rows.
    void checkAnswer(const json &answer, int index)
    {
        const auto text = json({{"query", "q" + std::to_string(index)}}).dump();
        const auto shards = answer["coverage"]["shards"].get<unsigned>();
        std::map<std::string, unsigned> expected;
        for (unsigned shard = 0; shard < shards; ++shard) {
            for (unsigned row = 0; row < rowsPerShard; ++row) {
                expected[rowId(text, answer["snapshot"], shard, row)] = shard;
            }
        }
        std::set<unsigned> covered;
        for (const auto &row : answer["results"]) {
            const auto found = expected.find(row["id"]);
            ASSERT_NE(found, expected.end()) << row << " is not of " << answer["snapshot"];
            covered.insert(found->second);
        }
        EXPECT_EQ(answer["coverage"]["covered"], covered.size());
        EXPECT_EQ(answer["coverage"]["missing"].size(), shards - covered.size());
    }

    static constexpr unsigned rowsPerShard = 3;
};

} // namespace

TEST_F(query_promises, answersAreWholeAndTheCallersOwnWhenServersAnswerLateAndForOthers)
{
    startFleet();
    ASSERT_TRUE(waitForFullCoverage());
    setServerFaults({{"late_ms", 60}, {"late_probability", 0.05}, {"foreign_probability", 0.05}}, {{"services", {"marshal-desk"}}});
    const auto results = m_client.callAll(queryCalls(300), callsAtOnce);
    for (int i = 0; i < 300; ++i) {
        ASSERT_EQ(statusOf(results[static_cast<std::size_t>(i)]), 200);
        checkAnswer(jsonOf(results[static_cast<std::size_t>(i)]), i);
    }
}

TEST_F(query_promises, anAnswerComesFromOneSnapshotWhileSnapshotsChange)
{
    startFleet();
    ASSERT_TRUE(waitForFullCoverage());
    // A third of the servers answer from their newest snapshot regardless of the snapshot in the request.
    serverControl("/control/placement", {{"domains", {"sfax-port"}}, {"addSnapshots", {"s2"}}});
    setServerFaults({{"answer_newest", true}}, {{"domains", {"sfax-port"}}});
    const auto results = m_client.callAll(queryCalls(300), callsAtOnce);
    for (int i = 0; i < 300; ++i) {
        const auto answer = jsonOf(results[static_cast<std::size_t>(i)]);
        ASSERT_EQ(statusOf(results[static_cast<std::size_t>(i)]), 200) << answer;
        checkAnswer(answer, i);
    }
}

TEST_F(query_promises, coverageIsTrueWhenAllReplicasOfAShardAreLost)
{
    startFleet();
    ASSERT_TRUE(waitForFullCoverage());
    setServerFaults({{"restart_ms", 600000}, {"crash", true}}, {{"servers", {"marshal-desk-0", "marshal-desk-1", "marshal-desk-2"}}});
    const auto results = m_client.callAll(queryCalls(30), 5);
    for (int i = 0; i < 30; ++i) {
        const auto answer = jsonOf(results[static_cast<std::size_t>(i)]);
        ASSERT_EQ(statusOf(results[static_cast<std::size_t>(i)]), 200) << answer;
        EXPECT_EQ(answer["coverage"]["covered"], 9);
        EXPECT_EQ(answer["coverage"]["missing"][0]["shard"], 0);
        checkAnswer(answer, i);
    }
}

TEST_F(query_promises, gracefulShutdownCutsOffNoRequest)
{
    startFleet();
    ASSERT_TRUE(waitForFullCoverage());
    setServerFaults({{"straggler", 100}}, {{"services", {"marshal-desk"}}});
    const auto name = daemonNames().front();
    int answered = 0;
    int failed = 0;
    static constexpr int count = 20;
    for (int i = 0; i < count; ++i) {
        m_client.start(queryCall(name, "marshal-desk", "q" + std::to_string(i)), [&](const http_result &result) {
            answered += 1;
            failed += statusOf(result) == 200 ? 0 : 1;
            EXPECT_EQ(statusOf(result), 200) << jsonOf(result);
        });
    }
    const auto received = [&] {
        return serverRecords()["searches"].get<int>();
    };
    // Two searches per query have reached servers, so no connection is still waiting to be accepted by the daemon.
    const int before = received();
    ASSERT_TRUE(m_client.waitUntil([&] { return received() >= before + count * 2; }));
    daemonNamed(name).signal(SIGTERM);
    ASSERT_TRUE(m_client.waitUntil([&] { return answered == count; }));
    EXPECT_EQ(failed, 0);
    EXPECT_EQ(daemonNamed(name).waitExit(seconds {20}), 0);
}
