#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

static constexpr microseconds typicalLatency {15000};

static replica_view replica(bool local)
{
    return {.local = local, .most = 3, .slots = 3, .connected = true};
}

TEST(chooseReplica, prefersTheOwnDomainUnlessItIsStalledSlowOrFailing)
{
    std::vector<replica_view> replicas {replica(false), replica(true), replica(false)};
    EXPECT_EQ(chooseReplica(replicas, typicalLatency, {}, 0.5), 1U);
    replicas[1].stalled = true;
    EXPECT_NE(chooseReplica(replicas, typicalLatency, {}, 0.5), 1U);
    replicas[1] = replica(true);
    replicas[1].slowness = 8;
    EXPECT_NE(chooseReplica(replicas, typicalLatency, {}, 0.5), 1U);
    replicas[1] = replica(true);
    replicas[1].failures = 1;
    EXPECT_NE(chooseReplica(replicas, typicalLatency, {}, 0.5), 1U);
}

TEST(chooseReplica, skipsFullAndExcludedServers)
{
    std::vector<replica_view> replicas {replica(true), replica(false)};
    replicas[0].running = 3;
    EXPECT_EQ(chooseReplica(replicas, typicalLatency, {}, 0.1), 1U);
    replicas[1].most = 0;
    EXPECT_FALSE(chooseReplica(replicas, typicalLatency, {}, 0.1).has_value());
}

// Daemons with the same information at the same time must not all choose the same server.
TEST(chooseReplica, spreadsOverEqualServers)
{
    const std::vector<replica_view> replicas(4, replica(true));
    std::map<std::size_t, int> chosen;
    for (int i = 0; i < 1000; ++i) {
        chosen[*chooseReplica(replicas, typicalLatency, {}, i / 1000.0)] += 1;
    }
    EXPECT_EQ(chosen.size(), 4U);
    for (const auto &[index, count] : chosen) {
        EXPECT_LT(count, 500) << index;
    }
}

TEST(connectionShare, staysBelowServerLimitForPersistentConnections)
{
    for (unsigned daemons = 1; daemons <= 12; ++daemons) {
        const auto share = connectionShare({.accepted = 31, .local = true, .domainDaemons = (daemons + 2) / 3, .allDaemons = daemons});
        EXPECT_LE(share.most * daemons, 31U) << daemons;
        EXPECT_GE(share.most, 2U) << daemons;
    }
}

// 75 daemons share servers that accept 70 connections each, and one failure domain has no replica: remote daemons must
// still be able to connect.
TEST(connectionShare, letsEveryDaemonConnectWhenConnectionsAreScarce)
{
    const auto local = connectionShare({.accepted = 70, .local = true, .domainDaemons = 19, .allDaemons = 75});
    const auto remote = connectionShare({.accepted = 70, .local = false, .domainDaemons = 19, .allDaemons = 75});
    EXPECT_LE(local.most * 19, 70U);
    EXPECT_GE(remote.most, 1U);
    EXPECT_LT(remote.idle, local.idle);
}

class replica_stats_test : public testing::Test
{
protected:
    // One attempt with the given latency.
    void answer(milliseconds latency)
    {
        m_record.started(++m_attempt, m_now, milliseconds {30});
        m_now += latency;
        m_record.answered(m_attempt, m_now, typicalLatency);
    }

    replica_stats m_record;
    attempt_id m_attempt = 0;
    monotonic_time m_now {seconds {100}};
};

TEST_F(replica_stats_test, isStalledUntilTheNextAnswer)
{
    m_record.started(1, m_now, milliseconds {30});
    EXPECT_FALSE(m_record.stalled(m_now + milliseconds {29}));
    EXPECT_TRUE(m_record.stalled(m_now + milliseconds {30}));
    m_record.started(2, m_now + milliseconds {35}, milliseconds {30});
    m_record.answered(2, m_now + milliseconds {40}, typicalLatency);
    EXPECT_FALSE(m_record.stalled(m_now + milliseconds {50}));
    EXPECT_EQ(m_record.running(), 1U);
}

// Servers stall briefly now and then; a single slow answer must not divert requests from a healthy server.
TEST_F(replica_stats_test, oneSlowAnswerDoesNotCountAsSlowness)
{
    answer(milliseconds {15});
    answer(milliseconds {150});
    EXPECT_LT(m_record.slowness(m_now), 1.5);
    answer(milliseconds {150});
    EXPECT_GT(m_record.slowness(m_now), 5);
    EXPECT_LT(m_record.slowness(m_now + seconds {30}), 1.1);
}

TEST_F(replica_stats_test, failuresDecayAndAnswersReduceThem)
{
    m_record.failedToConnect(m_now);
    EXPECT_GE(m_record.failures(m_now), 1);
    EXPECT_LT(m_record.failures(m_now + seconds {10}), 0.05);
    answer(milliseconds {0});
    EXPECT_LT(m_record.failures(m_now), 1);
    m_record.failed(99, m_now, 1);
    EXPECT_LT(m_record.failures(m_now), 1) << "an unknown attempt";
}
