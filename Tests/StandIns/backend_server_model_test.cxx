#include "backend_server_model.h"

#include <gtest/gtest.h>

using namespace daisystile;

class backend_server_model_test : public testing::Test
{
protected:
    static standin_spec threeSlots()
    {
        return {.id = "a", .slots = 3, .snapshots = {"s1"}, .mapVersion = 1, .shards = {{1, {0, 1}}}};
    }

    work_verdict begin(const standin_work &work = {.shard = 0})
    {
        return m_model.begin(work, m_now).verdict;
    }

    monotonic_time m_now {seconds {1000}};
    backend_server_model m_model {threeSlots(), 1};
};

TEST_F(backend_server_model_test, shedsBeyondItsSlots)
{
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(begin(), work_verdict::runs);
    }
    EXPECT_EQ(begin(), work_verdict::shed);
    m_model.ended();
    EXPECT_EQ(begin(), work_verdict::runs);
    EXPECT_EQ(m_model.counts.mostRunning, 3U);
    EXPECT_EQ(m_model.counts.shed, 1U);
}

TEST_F(backend_server_model_test, collapsesBeyondItsCapacityWhileColdAndStaysCold)
{
    m_model.restarted(m_now);
    EXPECT_EQ(begin(), work_verdict::runs);
    EXPECT_EQ(begin(), work_verdict::hangs);
    EXPECT_EQ(m_model.counts.overCapacityWhileCold, 1U);
    m_model.ended();
    m_model.ended();
    m_now += milliseconds {m_model.faults.collapseMs};
    EXPECT_FALSE(m_model.collapsed(m_now));
    EXPECT_TRUE(m_model.cold(m_now));
    EXPECT_EQ(begin(), work_verdict::runs);
    m_now += milliseconds {m_model.faults.warmUpMs};
    EXPECT_FALSE(m_model.cold(m_now));
    EXPECT_EQ(begin(), work_verdict::runs);
    EXPECT_EQ(m_model.counts.collapses, 1U);
}

TEST_F(backend_server_model_test, refusesWhatItDoesNotHold)
{
    EXPECT_EQ(begin({.shard = 2}), work_verdict::shard_not_here);
    EXPECT_EQ(begin({.shard = 0, .mapVersion = 2}), work_verdict::shard_not_here);
    EXPECT_EQ(begin({.shard = 0, .snapshot = "s2"}), work_verdict::snapshot_not_held);
    EXPECT_EQ(begin({.shard = 0, .deadlineMs = 0}), work_verdict::too_late);
    m_model.faults.draining = true;
    EXPECT_EQ(begin(), work_verdict::draining);
    EXPECT_EQ(m_model.counts.started, 0U);
}

TEST_F(backend_server_model_test, statesTheVersionsThatItAnsweredFrom)
{
    m_model.spec.snapshots.emplace_back("s2");
    m_model.spec.mapVersion = 2;
    auto plan = m_model.begin({.shard = 0, .snapshot = "s1", .mapVersion = 1}, m_now);
    EXPECT_EQ(plan.snapshot, "s1");
    EXPECT_EQ(plan.mapVersion, 1U);
    m_model.faults.answerNewest = true;
    plan = m_model.begin({.shard = 0, .snapshot = "s1", .mapVersion = 1}, m_now);
    EXPECT_EQ(plan.snapshot, "s2");
    EXPECT_EQ(plan.mapVersion, 2U);
}

TEST_F(backend_server_model_test, countsWhatComesAfterTheMark)
{
    begin();
    m_model.mark(m_now);
    m_now += milliseconds {70};
    begin();
    EXPECT_EQ(m_model.counts.receivedAfterMark, 1U);
    EXPECT_EQ(m_model.counts.lastAfterMarkMs, 70);
}

TEST_F(backend_server_model_test, dropsSoManyAnswersAsAsked)
{
    m_model.faults.resetAfterNext = 1;
    EXPECT_TRUE(m_model.begin({.shard = 0}, m_now).dropAfter);
    EXPECT_FALSE(m_model.begin({.shard = 0}, m_now).dropAfter);
    m_model.faults.resetBeforeNext = 1;
    EXPECT_EQ(begin(), work_verdict::drops_before);
    EXPECT_EQ(m_model.counts.started, 2U);
}
