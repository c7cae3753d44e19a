#include "query_fixture.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <map>
#include <set>

using namespace daisystile;

namespace {

struct guard_fixture
{
    std::vector<guard_action> run(std::uint64_t query, guard_report report, const std::string &server = {}, std::uint32_t shard = 0)
    {
        guard_question question;
        question.query = {{"a"}, {7}, {query}};
        question.request = {99};
        question.report = report;
        question.shard = {shard};
        question.server = {server};
        question.deadlineMs = 1000;
        return event(question);
    }

    std::vector<guard_action> event(const guard_event &event)
    {
        std::vector<guard_action> actions;
        decide(state, event, now, actions);
        return actions;
    }

    guard_verdict verdict(std::uint64_t query, guard_report report, const std::string &server = {}, std::uint32_t shard = 0)
    {
        return std::get<guard_answer>(run(query, report, server, shard).front()).verdict;
    }

    guard_state state;
    monotonic_time now = testStart;
};

} // namespace

TEST(crash_guard, triesANewRequestOnceAndClearsAllWaitingQueries)
{
    guard_fixture fixture;
    EXPECT_EQ(fixture.verdict(1, guard_report::run_requested), guard_verdict::try_one);
    EXPECT_EQ(fixture.verdict(2, guard_report::run_requested), guard_verdict::wait);
    const auto actions = fixture.run(1, guard_report::passed);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<guard_answer>(actions[0]).query.query.value, 2U);
    EXPECT_EQ(std::get<guard_answer>(actions[0]).verdict, guard_verdict::clear);
    EXPECT_EQ(fixture.verdict(3, guard_report::run_requested), guard_verdict::clear);
    fixture.now += clearDuration;
    EXPECT_EQ(fixture.verdict(4, guard_report::run_requested), guard_verdict::try_one);
}

TEST(crash_guard, quarantinesAtTheSecondServerAndEndsByItself)
{
    guard_fixture fixture;
    fixture.run(1, guard_report::run_requested);
    fixture.run(2, guard_report::run_requested);
    EXPECT_EQ(fixture.verdict(1, guard_report::crashed, "s1"), guard_verdict::retry);
    EXPECT_EQ(fixture.verdict(3, guard_report::run_requested), guard_verdict::wait);
    const auto actions = fixture.run(1, guard_report::crashed, "s2");
    EXPECT_EQ(actions.size(), 4U) << "all three queries hear of it, and so do the daemons";
    EXPECT_TRUE(std::holds_alternative<start_quarantine>(actions.back()));
    EXPECT_EQ(fixture.verdict(4, guard_report::run_requested), guard_verdict::quarantined);
    fixture.now += quarantineDuration;
    EXPECT_EQ(fixture.verdict(5, guard_report::run_requested), guard_verdict::try_one);
}

TEST(crash_guard, retriesEachShardOfAnInnocentRequestWhenManyServersAreLost)
{
    guard_fixture fixture;
    for (std::uint32_t shard = 0; shard < 30; ++shard) {
        EXPECT_EQ(fixture.verdict(1, guard_report::crashed, "s" + std::to_string(shard), shard), guard_verdict::retry);
    }
    fixture.run(1, guard_report::passed);
    EXPECT_EQ(fixture.verdict(2, guard_report::run_requested), guard_verdict::clear);
}

TEST(crash_guard, countsALostServerOncePerRequest)
{
    guard_fixture fixture;
    EXPECT_EQ(fixture.verdict(1, guard_report::crashed, "s1"), guard_verdict::retry);
    EXPECT_EQ(fixture.verdict(2, guard_report::crashed, "s1"), guard_verdict::wait);
    const auto actions = fixture.run(1, guard_report::passed);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<guard_answer>(actions[0]).verdict, guard_verdict::retry);
}

TEST(crash_guard, passesTheTrialToTheNextQueryWhenItsQueryEndsOrExpires)
{
    guard_fixture fixture;
    fixture.run(1, guard_report::run_requested);
    fixture.run(2, guard_report::run_requested);
    fixture.run(3, guard_report::run_requested);
    EXPECT_EQ(std::get<guard_answer>(fixture.run(1, guard_report::ended).at(0)).query.query.value, 2U);
    fixture.now += seconds {2};
    const auto actions = fixture.event(guard_tick {});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<guard_answer>(actions[0]).query.query.value, 3U);
}

TEST(crash_guard, anOperatorLiftsAQuarantine)
{
    guard_fixture fixture;
    fixture.run(1, guard_report::crashed, "s1");
    fixture.run(1, guard_report::crashed, "s2");
    fixture.event(quarantine_lifted {{99}});
    EXPECT_EQ(fixture.verdict(2, guard_report::run_requested), guard_verdict::try_one);
}

namespace {

// Queries from many daemons for a few requests, some of which crash every server that runs them.
class guard_fuzz
{
public:
    explicit guard_fuzz(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void step()
    {
        m_now += microseconds {m_random(20'000)};
        const auto choice = m_random(10);
        if (choice < 3 || m_running.empty()) {
            ask();
        } else if (choice == 3) {
            run(guard_tick {});
        } else {
            finishOne();
        }
    }

    std::size_t quarantines() const
    {
        return m_quarantines;
    }

private:
    static constexpr std::uint32_t requests = 6;

    static bool crashes(fingerprint request)
    {
        return request.value < 2;
    }

    void ask()
    {
        m_query += 1;
        guard_question question;
        question.query = {{"d" + std::to_string(m_random(8))}, {1}, {m_query}};
        question.request = {m_random(requests)};
        question.deadlineMs = 300;
        run(question);
    }

    // Ends a run with an answer, a crash or, rarely, an end without a result.
    void finishOne()
    {
        const auto place = m_random(static_cast<std::uint32_t>(m_running.size()));
        auto question = m_running[place];
        m_running.erase(m_running.begin() + place);
        if (crashes(question.request)) {
            auto &lost = m_lost[question.request];
            question.report = guard_report::crashed;
            question.server = {"s" + std::to_string(lost.size())};
            if (m_now >= m_lostUntil[question.request]) {
                lost.clear();
            }
            lost.insert(question.server);
            m_lostUntil[question.request] = m_now + quarantineDuration;
            ASSERT_LE(lost.size(), maxCrashesPerShard);
        } else {
            question.report = m_random(20) == 0 ? guard_report::ended : guard_report::passed;
        }
        run(question);
    }

    void run(const guard_event &event)
    {
        std::vector<guard_action> actions;
        decide(m_state, event, m_now, actions);
        for (const auto &action : actions) {
            if (const auto *answer = std::get_if<guard_answer>(&action)) {
                take(*answer);
            } else {
                m_quarantines += 1;
                ASSERT_TRUE(crashes(std::get<start_quarantine>(action).request)) << "an innocent request";
            }
        }
        for (const auto &[request, entry] : m_state.requests) {
            ASSERT_TRUE(entry.trial || entry.waiting.empty()) << "queries wait for nobody";
        }
    }

    void take(const guard_answer &answer)
    {
        if (answer.verdict != guard_verdict::try_one && answer.verdict != guard_verdict::retry) {
            ASSERT_FALSE(answer.verdict == guard_verdict::clear && crashes(answer.request));
            return;
        }
        for (const auto &other : m_running) {
            ASSERT_FALSE(other.request == answer.request && m_now < m_state.requests[answer.request].trialEnds && other.query != answer.query
                && m_state.requests[answer.request].trial->query != answer.query)
                << "two trials at once";
        }
        guard_question question;
        question.query = answer.query;
        question.request = answer.request;
        question.deadlineMs = 300;
        std::erase_if(m_running, [&](const guard_question &other) { return other.request == answer.request; });
        m_running.push_back(question);
    }

    pcg32 m_random;
    guard_state m_state;
    monotonic_time m_now = testStart;
    std::uint64_t m_query = 0;
    std::vector<guard_question> m_running;
    std::map<fingerprint, std::set<backend_server_id>> m_lost;
    std::map<fingerprint, monotonic_time> m_lostUntil;
    std::size_t m_quarantines = 0;
};

} // namespace

class guard_fuzz_seeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(guard_fuzz_seeds, losesAtMostTwoServersToOneRequest)
{
    static constexpr int steps = 100'000;
    guard_fuzz fuzz(GetParam());
    for (int i = 0; i < steps && !HasFatalFailure(); ++i) {
        fuzz.step();
    }
    EXPECT_GT(fuzz.quarantines(), 5U);
}

INSTANTIATE_TEST_SUITE_P(seeds, guard_fuzz_seeds, testing::Values(11, 12, 13));
