#include <Route/route.h>

#include <gtest/gtest.h>

#include <random>

using namespace daisystile;

namespace {

const service_name logbook {"logbook"};
const service_name board {"board"};
const request_digest fatal = digestOf("host", "GET", "/fatal", {});
const request_digest other = digestOf("host", "GET", "/other", {});

/// A daemon's suspects and its clock.
class crash_suspects_test : public testing::Test
{
protected:
    run_permission permission(const service_name &service = logbook) const
    {
        return m_suspects.permission(fatal, service, m_now);
    }

    /// An attempt is sent and its server ends a little later.
    void crash(const service_name &service = logbook)
    {
        const auto sent = m_now;
        m_now += milliseconds {10};
        m_suspects.crashed(fatal, service, sent, m_now);
    }

    crash_suspects m_suspects;
    monotonic_time m_now = monotonic_time(seconds {1000});
};

} // namespace

TEST_F(crash_suspects_test, requestThatEndsOneServerAfterTheOtherIsQuarantined)
{
    EXPECT_EQ(permission(), run_permission::run);
    crash();
    EXPECT_EQ(permission(), run_permission::trial);
    crash();
    EXPECT_EQ(permission(), run_permission::trial);
    crash();
    EXPECT_EQ(permission(), run_permission::quarantined);
    EXPECT_EQ(m_suspects.quarantineLeft(fatal, logbook, m_now), milliseconds(firstQuarantine));
    EXPECT_EQ(m_suspects.permission(other, logbook, m_now), run_permission::run);
    EXPECT_EQ(permission(board), run_permission::run);
}

TEST_F(crash_suspects_test, othersWaitWhileOneServerTriesTheRequest)
{
    crash();
    m_suspects.trialStarted(fatal, 7, m_now);
    EXPECT_EQ(permission(), run_permission::wait);
    EXPECT_FALSE(m_suspects.trialEnded(fatal, 8));
    EXPECT_EQ(permission(), run_permission::wait);
    EXPECT_TRUE(m_suspects.trialEnded(fatal, 7));
    EXPECT_EQ(permission(), run_permission::trial);
}

TEST_F(crash_suspects_test, silentTrialHoldsUpOthersForALimitedTime)
{
    crash();
    m_suspects.trialStarted(fatal, 7, m_now);
    m_now += maxTrial;
    EXPECT_EQ(permission(), run_permission::trial);
}

TEST_F(crash_suspects_test, serverThatSurvivesTheRequestClearsIt)
{
    crash();
    crash();
    EXPECT_TRUE(m_suspects.survived(fatal, logbook));
    EXPECT_EQ(permission(), run_permission::run);
    crash();
    crash();
    EXPECT_EQ(permission(), run_permission::trial) << "the count begins anew";
}

TEST_F(crash_suspects_test, serverOfAnotherServiceClearsNothing)
{
    crash();
    EXPECT_FALSE(m_suspects.survived(fatal, board));
    EXPECT_EQ(permission(), run_permission::trial);
}

// A query on all shards, or a popular request, runs on many servers when a wave of them is lost.
TEST_F(crash_suspects_test, serversThatEndAtTheSameTimeCountOnce)
{
    const auto sent = m_now;
    for (int i = 0; i < 5; ++i) {
        m_now += milliseconds {3};
        m_suspects.crashed(fatal, i % 2 == 0 ? logbook : board, sent, m_now);
    }
    EXPECT_EQ(permission(), run_permission::trial);
    EXPECT_EQ(permission(board), run_permission::trial);
}

TEST_F(crash_suspects_test, quarantineEndsWithATrialAndLastsLongerAfterAnotherCrash)
{
    crash();
    crash();
    crash();
    m_now += firstQuarantine;
    EXPECT_EQ(permission(), run_permission::trial);
    crash();
    EXPECT_EQ(m_suspects.quarantineLeft(fatal, logbook, m_now), milliseconds(2 * firstQuarantine));
    m_now += longestQuarantine + suspicionDuration;
    m_suspects.expire(m_now);
    EXPECT_TRUE(m_suspects.empty());
}

TEST_F(crash_suspects_test, whatADaemonLearnsCountsLikeItsOwn)
{
    EXPECT_TRUE(m_suspects.learn({fatal, 2, 0, {logbook}}, record_origin::other_daemon, m_now));
    EXPECT_FALSE(m_suspects.learn({fatal, 1, 0, {logbook}}, record_origin::other_daemon, m_now)) << "an older record";
    EXPECT_TRUE(m_suspects.toShare().empty()) << "the other daemon shares it";
    EXPECT_EQ(permission(), run_permission::trial);
    crash();
    EXPECT_EQ(permission(), run_permission::quarantined);
    ASSERT_EQ(m_suspects.toShare().size(), 1U);
    EXPECT_EQ(m_suspects.toShare()[0].crashes, 3U);
}

TEST_F(crash_suspects_test, clearingIsSharedOnlyIfTheSuspicionWas)
{
    crash();
    EXPECT_EQ(m_suspects.toShare().size(), 1U);
    m_suspects.survived(fatal, logbook);
    EXPECT_TRUE(m_suspects.toShare().empty());
    // The suspicion was being written when it was cleared.
    m_suspects.learn({fatal, 1, 0, {logbook}}, record_origin::this_daemon, m_now);
    EXPECT_EQ(permission(), run_permission::run);
    ASSERT_EQ(m_suspects.toShare().size(), 1U);
    EXPECT_EQ(m_suspects.toShare()[0].cleared, 1U);
}

TEST_F(crash_suspects_test, restartedDaemonGoesOnSharingItsRecords)
{
    m_suspects.learn({fatal, 3, 0, {logbook}}, record_origin::this_daemon, m_now);
    EXPECT_EQ(permission(), run_permission::quarantined);
    EXPECT_EQ(m_suspects.toShare().size(), 1U);
}

TEST_F(crash_suspects_test, operatorLiftsAQuarantineForAllDaemons)
{
    crash();
    crash();
    crash();
    const auto lifted = m_suspects.lift(fatal);
    ASSERT_TRUE(lifted);
    EXPECT_EQ(permission(), run_permission::run);
    crash_suspects elsewhere;
    elsewhere.learn({fatal, 3, 0, {logbook}}, record_origin::other_daemon, m_now);
    elsewhere.learn(*lifted, record_origin::other_daemon, m_now);
    EXPECT_EQ(elsewhere.permission(fatal, logbook, m_now), run_permission::run);
    EXPECT_EQ(m_suspects.lift(other), std::nullopt);
}

// A wave of lost servers makes many requests suspect; what is kept and shared of them stays bounded, the quarantined ones stay.
TEST_F(crash_suspects_test, memoryIsBoundedAndTheMostSuspectStay)
{
    crash();
    crash();
    crash();
    for (int i = 0; i < 10000; ++i) {
        m_now += milliseconds {1};
        m_suspects.crashed(digestOf("host", "GET", std::to_string(i), {}), logbook, m_now, m_now);
    }
    EXPECT_EQ(permission(), run_permission::quarantined);
    EXPECT_LE(m_suspects.toShare().size(), 20U);
    EXPECT_EQ(m_suspects.permission(digestOf("host", "GET", "0", {}), logbook, m_now), run_permission::run) << "forgotten";
}

// The order, repetition and loss of what daemons tell each other makes no difference in the end.
TEST_F(crash_suspects_test, daemonsThatHaveLearnedTheSameAgree)
{
    std::mt19937 random(26);
    for (int round = 0; round < 200; ++round) {
        std::vector<suspect_record> records;
        for (std::uint64_t i = 0; i < 6; ++i) {
            const std::uint64_t crashes = random() % 5 + 1;
            records.push_back({fatal, crashes, random() % (crashes + 1), {logbook}});
        }
        crash_suspects one;
        crash_suspects two;
        for (const auto &record : records) {
            one.learn(record, record_origin::other_daemon, m_now);
        }
        for (int i = 0; i < 2; ++i) {
            std::shuffle(records.begin(), records.end(), random);
            for (const auto &record : records) {
                two.learn(record, record_origin::other_daemon, m_now);
            }
        }
        one.learn({fatal, 5, 0, {logbook}}, record_origin::other_daemon, m_now);
        two.learn({fatal, 5, 0, {logbook}}, record_origin::other_daemon, m_now);
        EXPECT_EQ(one.permission(fatal, logbook, m_now), two.permission(fatal, logbook, m_now));
    }
}

namespace {

backend_server_id serverOf(int number)
{
    return {"s" + std::to_string(number)};
}

} // namespace

// Five daemons each lost a server to the request before they heard of one another; all of them knew of one crash then, and each
// tried the request once more.
TEST_F(crash_suspects_test, crashesThatDaemonsCountAtTheSameTimeAddUp)
{
    std::vector<crash_suspects> daemons(5);
    for (int i = 0; i < 5; ++i) {
        daemons[static_cast<std::size_t>(i)].crashed(fatal, logbook, m_now, m_now + milliseconds {10}, serverOf(i));
    }
    m_now += milliseconds {400};
    for (const auto &teller : daemons) {
        ASSERT_EQ(teller.toShare().size(), 1U);
        for (int repeat = 0; repeat < 2; ++repeat) {
            m_suspects.learn(teller.toShare()[0], record_origin::other_daemon, m_now);
        }
    }
    EXPECT_EQ(permission(), run_permission::quarantined);
    EXPECT_EQ(m_suspects.quarantineLeft(fatal, logbook, m_now), milliseconds(firstQuarantine));
    EXPECT_EQ(strikes(*m_suspects.find(fatal)), 5U);
}

TEST_F(crash_suspects_test, aServerThatSeveralDaemonsSawEndCountsOnce)
{
    std::vector<crash_suspects> daemons(5);
    for (auto &daemon : daemons) {
        daemon.crashed(fatal, logbook, m_now, m_now + milliseconds {10}, serverOf(1));
        m_suspects.learn(daemon.toShare()[0], record_origin::other_daemon, m_now);
    }
    EXPECT_EQ(strikes(*m_suspects.find(fatal)), 1U);
    EXPECT_EQ(permission(), run_permission::trial);
}

TEST_F(crash_suspects_test, aSurvivorClearsWhatAllDaemonsCountedBefore)
{
    crash_suspects elsewhere;
    elsewhere.crashed(fatal, logbook, m_now, m_now + milliseconds {10}, serverOf(9));
    elsewhere.survived(fatal, logbook);
    elsewhere.learn({fatal, 1, 0, {logbook}}, record_origin::this_daemon, m_now);
    for (int i = 0; i < 4; ++i) {
        m_suspects.learn({fatal, 1, 0, {logbook}, {{serverOf(i), 1}}}, record_origin::other_daemon, m_now);
    }
    EXPECT_EQ(permission(), run_permission::quarantined);
    m_suspects.learn(elsewhere.toShare().at(0), record_origin::other_daemon, m_now);
    EXPECT_EQ(permission(), run_permission::run);
    m_suspects.learn({fatal, 1, 0, {logbook}, {{serverOf(5), 1}}}, record_origin::other_daemon, m_now);
    EXPECT_EQ(permission(), run_permission::run) << "the same evidence, told late";
}

TEST_F(crash_suspects_test, namesOfServersAreBoundedWhateverTheirOrder)
{
    std::mt19937 random(32);
    constexpr int recordCount = 40;
    std::vector<suspect_record> records;
    records.reserve(recordCount);
    for (int i = 0; i < recordCount; ++i) {
        records.push_back({fatal, 3, 0, {logbook}, {{serverOf(i % 20), random() % 3 + 1}}});
    }
    std::optional<suspect_record> first;
    for (int round = 0; round < 20; ++round) {
        crash_suspects daemon;
        std::shuffle(records.begin(), records.end(), random);
        for (const auto &record : records) {
            daemon.learn(record, record_origin::other_daemon, m_now);
        }
        const auto known = *daemon.find(fatal);
        EXPECT_EQ(known.servers.size(), maxNamedServers);
        EXPECT_EQ(known, first.value_or(known));
        first = known;
    }
}
