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

    request_outcome begin(const request_parameters &work = {.shard = 0})
    {
        return m_model.begin(work, m_now).outcome;
    }

    monotonic_time m_now {seconds {1000}};
    backend_server_model m_model {threeSlots(), 1};
};

TEST_F(backend_server_model_test, shedsBeyondItsSlots)
{
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(begin(), request_outcome::runs);
    }
    EXPECT_EQ(begin(), request_outcome::shed);
    m_model.finishRequest();
    EXPECT_EQ(begin(), request_outcome::runs);
    EXPECT_EQ(m_model.counts.peakRunning, 3U);
    EXPECT_EQ(m_model.counts.shed, 1U);
}

TEST_F(backend_server_model_test, collapsesBeyondItsCapacityWhileColdAndStaysCold)
{
    m_model.restart(m_now);
    EXPECT_EQ(begin(), request_outcome::runs);
    EXPECT_EQ(begin(), request_outcome::hangs);
    EXPECT_EQ(m_model.counts.overCapacityWhileCold, 1U);
    m_model.finishRequest();
    m_model.finishRequest();
    m_now += milliseconds {m_model.faults.collapseMs};
    EXPECT_FALSE(m_model.collapsed(m_now));
    EXPECT_TRUE(m_model.cold(m_now));
    EXPECT_EQ(begin(), request_outcome::runs);
    m_now += milliseconds {m_model.faults.warmUpMs};
    EXPECT_FALSE(m_model.cold(m_now));
    EXPECT_EQ(begin(), request_outcome::runs);
    EXPECT_EQ(m_model.counts.collapses, 1U);
}

TEST_F(backend_server_model_test, rejectsRequestsThatItCannotServe)
{
    EXPECT_EQ(begin({.shard = 2}), request_outcome::shard_not_here);
    EXPECT_EQ(begin({.shard = 0, .mapVersion = 2}), request_outcome::shard_not_here);
    EXPECT_EQ(begin({.shard = 0, .snapshot = "s2"}), request_outcome::snapshot_not_held);
    EXPECT_EQ(begin({.shard = 0, .deadlineMs = 0}), request_outcome::deadline_passed);
    m_model.faults.draining = true;
    EXPECT_EQ(begin(), request_outcome::draining);
    EXPECT_EQ(m_model.counts.started, 0U);
}

TEST_F(backend_server_model_test, reportsTheVersionsThatItUsed)
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

TEST_F(backend_server_model_test, countsRequestsAfterTheMark)
{
    begin();
    m_model.mark(m_now);
    m_now += milliseconds {70};
    begin();
    EXPECT_EQ(m_model.counts.receivedAfterMark, 1U);
    EXPECT_EQ(m_model.counts.lastAfterMarkMs, 70);
}

TEST_F(backend_server_model_test, resetsTheGivenNumberOfConnections)
{
    m_model.faults.resetAfterNext = 1;
    EXPECT_TRUE(m_model.begin({.shard = 0}, m_now).dropAfterRun);
    EXPECT_FALSE(m_model.begin({.shard = 0}, m_now).dropAfterRun);
    m_model.faults.resetBeforeNext = 1;
    EXPECT_EQ(begin(), request_outcome::drops_before_run);
    EXPECT_EQ(m_model.counts.started, 2U);
}
