#include "execute_fleet.h"

#include <gtest/gtest.h>

#include <random>

using namespace daisystile;
using nlohmann::json;

class execute_service_test : public testing::Test
{
protected:
    void setServerFaults(const json &set)
    {
        m_fleet.serverControl("POST", "/control/faults", {{"set", set}});
    }

    void setPlatformFaults(const json &set)
    {
        m_fleet.platformControl("POST", "/control/faults", set);
    }

    // Returns a daemon that does not own the key's journal.
    int otherThanOwner(const std::string &key)
    {
        return (m_fleet.journalOwnerOf(key) + 1) % daemons;
    }

    static constexpr int daemons = 3;
    execute_fleet m_fleet {daemons, 6};
};

TEST_F(execute_service_test, aResendThroughAnyDaemonGetsTheFirstResult)
{
    const auto first = m_fleet.execute(0, "k");
    ASSERT_EQ(first.status, 200);
    for (int daemon = 0; daemon < daemons; ++daemon) {
        EXPECT_EQ(m_fleet.execute(daemon, "k").body, first.body);
    }
    EXPECT_EQ(m_fleet.startCountOf("k"), 1);
}

TEST_F(execute_service_test, aKeyWithAnotherRequestIsRefused)
{
    m_fleet.execute(0, "k");
    EXPECT_EQ(m_fleet.execute(1, "k", seconds {20}, R"({"other":1})").status, 422);
    EXPECT_EQ(m_fleet.startCountOf("k"), 1);
}

TEST_F(execute_service_test, aLostAnswerOfThePlatformIsReadBack)
{
    m_fleet.execute(0, "warm-up");
    setPlatformFaults({{"lose_answers_next", 1}});
    for (const auto *key : {"a", "b", "c", "d", "e"}) {
        EXPECT_EQ(m_fleet.execute(0, key).outcome, "done");
        EXPECT_EQ(m_fleet.startCountOf(key), 1);
    }
    EXPECT_EQ(m_fleet.platformControl("GET", "/control/counters")["lost_answers"], 1);
}

TEST_F(execute_service_test, aPlatformOutageMeansNotRunAtOnce)
{
    m_fleet.execute(0, "k");
    setPlatformFaults({{"down", true}});
    const milliseconds wait {20000};
    const auto before = m_fleet.now();
    EXPECT_EQ(m_fleet.execute(0, "k").outcome, "done");
    const auto refused = m_fleet.execute(m_fleet.journalOwnerOf("k"), "k2-of-nobody", wait);
    EXPECT_NE(refused.outcome, "done");
    EXPECT_LT(m_fleet.now() - before, wait / 4);
    EXPECT_EQ(m_fleet.startCountOf("k2-of-nobody"), 0);
    setPlatformFaults({{"down", false}});
    // The owner notices the recovery of the platform with some delay.
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.execute(1, "k2-of-nobody").outcome == "done"; }));
    EXPECT_EQ(m_fleet.startCountOf("k2-of-nobody"), 1);
}

TEST_F(execute_service_test, anOutageRightAfterContactIsProvedNotRun)
{
    const std::string key = "k";
    m_fleet.execute(0, key);
    setPlatformFaults({{"down", true}});
    int notRun = 0;
    for (int i = 0; i < 20; ++i) {
        const auto other = "other" + std::to_string(i);
        notRun += m_fleet.execute(0, other).outcome == "not_run" ? 1 : 0;
        EXPECT_EQ(m_fleet.startCountOf(other), 0);
    }
    // Journals that had no contact before the outage can't prove that the request did not run.
    EXPECT_GT(notRun, 0);
}

TEST_F(execute_service_test, aServerLostAfterTheRequestLeftIsUnknownAndNeverRetried)
{
    m_fleet.execute(0, "warm-up");
    setServerFaults({{"reset_after_next", 1}});
    EXPECT_EQ(m_fleet.execute(0, "k").outcome, "unknown");
    EXPECT_EQ(m_fleet.execute(1, "k").outcome, "unknown");
    EXPECT_EQ(m_fleet.startCountOf("k"), 1);
}

TEST_F(execute_service_test, aServerThatSaysNotRunIsFollowedByAnother)
{
    m_fleet.serverControl("POST", "/control/faults", {{"servers", {"s0", "s1", "s2"}}, {"set", {{"draining", true}}}});
    for (int i = 0; i < 10; ++i) {
        const auto key = "k" + std::to_string(i);
        EXPECT_EQ(m_fleet.execute(0, key).outcome, "done");
        EXPECT_EQ(m_fleet.startCountOf(key), 1);
    }
}

TEST_F(execute_service_test, aRequestThatNoServerTookIsNotRunAndMayComeAgain)
{
    setServerFaults({{"draining", true}});
    EXPECT_EQ(m_fleet.execute(0, "k").outcome, "not_run");
    EXPECT_EQ(m_fleet.startCountOf("k"), 0);
    setServerFaults({{"draining", false}});
    EXPECT_EQ(m_fleet.execute(1, "k").outcome, "done");
    EXPECT_EQ(m_fleet.startCountOf("k"), 1);
}

TEST_F(execute_service_test, aDuplicatedFrameRunsOnce)
{
    m_fleet.duplicateFrames = true;
    for (int i = 0; i < 10; ++i) {
        const auto key = "k" + std::to_string(i);
        EXPECT_EQ(m_fleet.execute(0, key).outcome, "done");
        EXPECT_EQ(m_fleet.startCountOf(key), 1);
    }
}

TEST_F(execute_service_test, aCrashedCoordinatorsRequestIsNotRunAgain)
{
    m_fleet.execute(0, "warm-up");
    setServerFaults({{"straggler", 100}});
    const auto coordinator = otherThanOwner("k");
    const auto lost = m_fleet.start(coordinator, "k");
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.startCountOf("k") == 1; }));
    m_fleet.crash(coordinator);
    EXPECT_EQ(m_fleet.execute(m_fleet.journalOwnerOf("k"), "k").outcome, "done");
    EXPECT_EQ(m_fleet.startCountOf("k"), 1);
    EXPECT_EQ(lost->outcome, "");
}

TEST_F(execute_service_test, aCrashedJournalOwnersClaimsAreUnknownAndItsResultsKept)
{
    const auto done = m_fleet.execute(0, "k");
    const auto owner = m_fleet.journalOwnerOf("k");
    const auto coordinator = otherThanOwner("k");
    // The result is written to the journal some time after the claim.
    const auto written = [&] {
        return m_fleet.platformControl("GET", "/control/counters")["calls"]["put"].get<int>();
    };
    const auto before = written();
    ASSERT_TRUE(m_fleet.runUntil([&] { return written() > before; }));
    m_fleet.crash(owner);
    EXPECT_EQ(m_fleet.execute(coordinator, "k").body, done.body);
    EXPECT_EQ(m_fleet.execute(coordinator, "new").outcome, "done");
    EXPECT_EQ(m_fleet.startCountOf("k"), 1);
    EXPECT_EQ(m_fleet.startCountOf("new"), 1);
}

TEST_F(execute_service_test, aLeavingOwnerHandsItsJournalOver)
{
    const auto done = m_fleet.execute(0, "k");
    const auto owner = m_fleet.journalOwnerOf("k");
    const auto coordinator = otherThanOwner("k");
    const auto under = m_fleet.start(coordinator, "under-way");
    m_fleet.leave(owner);
    EXPECT_EQ(m_fleet.execute(coordinator, "k").body, done.body);
    EXPECT_TRUE(m_fleet.runUntil([&] { return under->outcome == "done"; }));
    EXPECT_EQ(m_fleet.startCountOf("under-way"), 1);
}

TEST_F(execute_service_test, manyRequestsWithResendsAndFaultsRunAtMostOnce)
{
    static constexpr int count = 2000;
    m_fleet.execute(0, "warm-up");
    setPlatformFaults({{"lose_answers_probability", 0.05}, {"seed", 7}});
    setServerFaults({{"reset_after_probability", 0.02}, {"shed_probability", 0.1}});
    std::mt19937_64 random(7);
    std::map<std::string, std::vector<std::shared_ptr<execute_fleet::caller_answer>>> answers;
    const auto open = [&] {
        std::size_t waiting = 0;
        for (const auto &[key, list] : answers) {
            for (const auto &entry : list) {
                waiting += entry->outcome.empty() ? 1 : 0;
            }
        }
        return waiting;
    };
    for (int i = 0; i < count; ++i) {
        const auto key = "k" + std::to_string(i - (random() % 4 == 0 ? static_cast<int>(random() % 50) : 0));
        answers[key].push_back(m_fleet.start(static_cast<int>(random() % daemons), key));
        if (i % 50 == 0) {
            ASSERT_TRUE(m_fleet.runUntil([&] { return open() < 200; }));
        }
    }
    ASSERT_TRUE(m_fleet.runUntil([&] { return open() == 0; }));
    const auto executions = m_fleet.serverControl("GET", "/control/records")["executions"];
    int done = 0;
    for (const auto &[key, list] : answers) {
        const int starts = executions.contains(key) ? executions[key]["started"].get<int>() : 0;
        EXPECT_LE(starts, 1) << key;
        for (const auto &entry : list) {
            done += entry->outcome == "done" ? 1 : 0;
            EXPECT_FALSE(entry->outcome == "done" && starts == 0) << key;
        }
        // A later resend may run a refused request, so only keys refused every time are checked.
        const bool allNotRun = std::all_of(list.begin(), list.end(), [](const auto &entry) { return entry->outcome == "not_run"; });
        EXPECT_FALSE(allNotRun && starts > 0) << key;
    }
    EXPECT_GT(done, count / 2);
}
