#include "Request/claim_journal.h"

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

// Runs one journal and records its platform calls, which the test answers.
class claim_journal_test : public testing::Test
{
protected:
    void decide(const journal_event &event)
    {
        for (auto &action : m_journal.decide(event, {m_now, m_wall})) {
            if (auto *answer = std::get_if<answer_waiter>(&action)) {
                m_answers[answer->waiter] = *answer;
            } else if (auto *run = std::get_if<start_run>(&action)) {
                m_runs.push_back(run->key.key.value);
            } else {
                m_calls.push_back(std::move(action));
            }
        }
    }

    void advanceTime(milliseconds time)
    {
        m_now += time;
        decide(journal_timer_expired {});
    }

    template<class Call> Call takeCall()
    {
        EXPECT_FALSE(m_calls.empty());
        if (m_calls.empty() || !std::holds_alternative<Call>(m_calls.front())) {
            ADD_FAILURE() << "expected a different platform call";
            return {};
        }
        auto call = std::get<Call>(m_calls.front());
        m_calls.pop_front();
        return call;
    }

    // Makes the journal the owner of an empty partition.
    void becomeOwner()
    {
        decide(ownership_gained {});
        takeCall<list_segments>();
        decide(segments_listed {std::vector<platform_object>()});
        takeCall<write_segment>();
        decide(segment_written {object_written {"1"}});
        advanceTime(m_limits.writeInterval);
    }

    void submit(waiter_id waiter, const std::string &key, std::uint64_t request = 1, milliseconds wait = seconds {2})
    {
        decide(execute_requested {waiter, {{"c"}, {"s"}, {key}}, {request}, 60, m_now + wait});
    }

    void report(const std::string &key, run_outcome outcome, const std::string &body = {})
    {
        decide(run_reported {{{"c"}, {"s"}, {key}}, outcome, attempt_failure::none, body});
    }

    run_outcome outcome(waiter_id waiter)
    {
        EXPECT_TRUE(m_answers.contains(waiter));
        return m_answers[waiter].outcome;
    }

    journal_limits m_limits;
    monotonic_time m_now {seconds {100}};
    std::int64_t m_wall = 1000000;
    claim_journal m_journal {0, {"d1"}, {1}};
    std::deque<journal_action> m_calls;
    std::map<waiter_id, answer_waiter> m_answers;
    std::vector<std::string> m_runs;
};

} // namespace

TEST_F(claim_journal_test, runsOnlyAfterTheClaimIsWrittenAndRetainsTheResult)
{
    becomeOwner();
    submit(1, "k");
    const auto write = takeCall<write_segment>();
    EXPECT_TRUE(m_runs.empty());
    EXPECT_EQ(std::get<if_version>(write.condition).etag, "1");
    decide(segment_written {object_written {"2"}});
    EXPECT_EQ(m_runs, std::vector<std::string> {"k"});
    submit(2, "k");
    report("k", run_outcome::done, "r");
    EXPECT_EQ(m_answers[1].body, "r");
    EXPECT_EQ(m_answers[2].body, "r");
    submit(3, "k");
    EXPECT_EQ(m_answers[3].body, "r");
    EXPECT_EQ(m_runs.size(), 1U);
}

TEST_F(claim_journal_test, sharesWritesWithinTheInterval)
{
    becomeOwner();
    submit(1, "a");
    takeCall<write_segment>();
    submit(2, "b");
    decide(segment_written {object_written {"2"}});
    submit(3, "c");
    EXPECT_TRUE(m_calls.empty());
    advanceTime(m_limits.writeInterval);
    takeCall<write_segment>();
    decide(segment_written {object_written {"3"}});
    EXPECT_EQ(m_runs, (std::vector<std::string> {"a", "b", "c"}));
}

TEST_F(claim_journal_test, readsTheSegmentBackAfterALostReply)
{
    becomeOwner();
    submit(1, "k");
    const auto first = takeCall<write_segment>();
    decide(segment_written {write_unknown {"lost"}});
    takeCall<write_segment>();
    decide(segment_written {write_conflict {}});
    const auto readBack = takeCall<read_segment>();
    EXPECT_EQ(readBack.key, first.key);
    decide(segment_read {platform_object {first.key, "2", first.value}});
    EXPECT_EQ(m_runs, std::vector<std::string> {"k"});
}

TEST_F(claim_journal_test, doesNotRunARejectedClaimWhoseWriteTookEffect)
{
    becomeOwner();
    submit(1, "k");
    const auto first = takeCall<write_segment>();
    decide(segment_written {write_unknown {"lost"}});
    takeCall<write_segment>();
    decide(segment_written {write_unknown {"lost"}});
    EXPECT_EQ(outcome(1), run_outcome::not_run);
    advanceTime(m_limits.retryDelay);
    takeCall<write_segment>();
    decide(segment_written {write_conflict {}});
    takeCall<read_segment>();
    decide(segment_read {platform_object {first.key, "2", first.value}});
    EXPECT_TRUE(m_runs.empty());
    // The claim is released in the journal, so that a resend can run.
    advanceTime(m_limits.resultDelay);
    EXPECT_NE(takeCall<write_segment>().value.find("released\":"), std::string::npos);
}

TEST_F(claim_journal_test, answersNotRunWhileThePlatformIsDownAndUnknownAfterTheLease)
{
    becomeOwner();
    submit(1, "k");
    takeCall<write_segment>();
    decide(segment_written {platform_unavailable {"down"}});
    EXPECT_EQ(outcome(1), run_outcome::not_run);
    submit(2, "k");
    EXPECT_EQ(outcome(2), run_outcome::not_run);
    EXPECT_EQ(m_answers[2].failure, attempt_failure::platform_down);
    advanceTime(m_limits.lease);
    submit(3, "k");
    EXPECT_EQ(outcome(3), run_outcome::unknown);
    EXPECT_TRUE(m_runs.empty());
}

TEST_F(claim_journal_test, isFencedWhenAnotherOwnerHasWritten)
{
    becomeOwner();
    submit(1, "k");
    const auto write = takeCall<write_segment>();
    decide(segment_written {write_conflict {}});
    takeCall<read_segment>();
    const segment_header other {{{"d2"}, {1}, 9}, false, false};
    decide(segment_read {platform_object {write.key, "7", encodeSegmentHeader(other)}});
    EXPECT_EQ(outcome(1), run_outcome::unknown);
    submit(2, "x");
    EXPECT_EQ(m_answers[2].failure, attempt_failure::not_owner);
    advanceTime(m_limits.fencedBackoff);
    takeCall<list_segments>();
}

TEST_F(claim_journal_test, waitsForThePreviousLeaseAndAnswersItsClaimsUnknown)
{
    const segment_header header {{{"d2"}, {1}, 9}, false, false};
    const auto claimed = encodeClaimEvent(claim_made {{{"c"}, {"s"}, {"old"}}, {1}, m_wall + 60});
    decide(ownership_gained {});
    takeCall<list_segments>();
    decide(segments_listed {std::vector<platform_object> {{segmentKey(0, 1), "5", encodeSegmentHeader(header) + claimed}}});
    takeCall<write_segment>();
    decide(segment_written {object_written {"6"}});
    submit(1, "old");
    EXPECT_EQ(outcome(1), run_outcome::unknown);
    submit(2, "new", 1, seconds {20});
    EXPECT_FALSE(m_answers.contains(2));
    while (m_runs.empty() && m_now < monotonic_time(seconds {120})) {
        advanceTime(milliseconds {100});
        if (m_calls.empty()) {
            continue;
        }
        if (std::holds_alternative<read_segment>(m_calls.front())) {
            decide(segment_read {platform_object {takeCall<read_segment>().key, "6", "unchanged"}});
        } else {
            EXPECT_GE(m_now, monotonic_time(seconds {100}) + m_limits.takeoverWait);
            takeCall<write_segment>();
            decide(segment_written {object_written {"8"}});
        }
    }
    EXPECT_EQ(m_runs, std::vector<std::string> {"new"});
}

// The copy holds the segment as this owner wrote it before the claim.
TEST_F(claim_journal_test, writesClaimsAgainThatARestoredStoreLacks)
{
    m_limits.batchBytes = 1;
    m_journal = claim_journal(0, {"d1"}, {1}, m_limits);
    decide(ownership_gained {});
    takeCall<list_segments>();
    decide(segments_listed {std::vector<platform_object>(), 1});
    const auto copied = takeCall<write_segment>();
    decide(segment_written {object_written {"1.5"}});
    advanceTime(m_limits.writeInterval);
    submit(1, "k");
    takeCall<write_segment>();
    decide(segment_written {object_written {"1.6"}});
    report("k", run_outcome::done, "r");
    advanceTime(m_limits.resultDelay);
    takeCall<write_segment>();
    decide(segment_written {write_conflict {}});
    takeCall<read_segment>();
    const platform_object restored {copied.key, "2.5", copied.value};
    decide(segment_read {restored});
    takeCall<list_segments>();
    decide(segments_listed {std::vector<platform_object> {restored}, 2});
    const auto first = parseSegment(takeCall<write_segment>().value);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->header.era, 2U);
    EXPECT_EQ(first->header.lostBefore, m_wall) << "the result is in the next write";
    decide(segment_written {object_written {"2.6"}});
    advanceTime(m_limits.resultDelay);
    const auto rewritten = parseSegment(takeCall<write_segment>().value);
    ASSERT_TRUE(rewritten);
    EXPECT_EQ(rewritten->header.lostBefore, 0) << "all that is known is written";
    ASSERT_EQ(rewritten->events.size(), 2U);
    EXPECT_EQ(std::get<claim_ended>(rewritten->events[1]).body, "r");
    decide(segment_written {object_written {"2.7"}});
    submit(2, "k");
    EXPECT_EQ(m_answers[2].body, "r");
    EXPECT_EQ(m_runs.size(), 1U);
}

TEST_F(claim_journal_test, runsNothingThatMayHaveBeenClaimedInAnEarlierEra)
{
    constexpr std::int64_t retention = 60;
    const segment_header header {{{"d2"}, {1}, 9}, false, true, 1};
    decide(ownership_gained {});
    takeCall<list_segments>();
    decide(segments_listed {std::vector<platform_object> {{segmentKey(0, 1), "2.5", encodeSegmentHeader(header)}}, 2});
    const auto takeover = parseSegment(takeCall<write_segment>().value);
    ASSERT_TRUE(takeover);
    EXPECT_EQ(takeover->header.lostBefore, m_wall) << "the next owner must know";
    decide(segment_written {object_written {"2.6"}});
    submit(1, "lost");
    EXPECT_EQ(outcome(1), run_outcome::unknown);
    m_wall += retention + m_limits.clockSkewSeconds;
    submit(2, "lost");
    EXPECT_EQ(outcome(2), run_outcome::unknown) << "its claim may be kept until now";
    m_wall += 1;
    submit(3, "lost", 1, m_limits.takeoverWait * 2);
    advanceTime(m_limits.writeInterval);
    EXPECT_TRUE(m_calls.empty()) << "the claim waits for the lease of the owner before";
    EXPECT_FALSE(m_answers.contains(3));
}

TEST_F(claim_journal_test, rejectsAKeyReusedForAnotherRequest)
{
    becomeOwner();
    submit(1, "k", 1);
    submit(2, "k", 2);
    EXPECT_EQ(m_answers[2].failure, attempt_failure::key_reused);
    takeCall<write_segment>();
    decide(segment_written {object_written {"2"}});
    report("k", run_outcome::done, "r");
    submit(3, "k", 2);
    EXPECT_EQ(m_answers[3].failure, attempt_failure::key_reused);
}

TEST_F(claim_journal_test, allowsANewClaimAfterNotRun)
{
    becomeOwner();
    submit(1, "k");
    takeCall<write_segment>();
    decide(segment_written {object_written {"2"}});
    report("k", run_outcome::not_run);
    EXPECT_EQ(outcome(1), run_outcome::not_run);
    submit(2, "k");
    advanceTime(m_limits.writeInterval);
    takeCall<write_segment>();
    decide(segment_written {object_written {"3"}});
    EXPECT_EQ(m_runs, (std::vector<std::string> {"k", "k"}));
}

TEST_F(claim_journal_test, releasesTheJournalAfterItsRunsHaveEnded)
{
    becomeOwner();
    submit(1, "k");
    takeCall<write_segment>();
    decide(segment_written {object_written {"2"}});
    decide(ownership_ended {});
    submit(2, "x");
    EXPECT_EQ(m_answers[2].failure, attempt_failure::not_owner);
    report("k", run_outcome::done, "r");
    EXPECT_EQ(outcome(1), run_outcome::done);
    advanceTime(m_limits.writeInterval);
    takeCall<write_segment>();
    decide(segment_written {object_written {"3"}});
    const auto last = takeCall<write_segment>();
    EXPECT_TRUE(parseSegment(last.value)->header.released);
    decide(segment_written {object_written {"4"}});
    EXPECT_TRUE(m_journal.idle());
}

TEST_F(claim_journal_test, sealsLargeSegmentsAndRemovesExpiredOnes)
{
    m_limits.segmentBytes = 200;
    m_journal = claim_journal(0, {"d1"}, {1}, m_limits);
    becomeOwner();
    std::size_t removed = 0;
    for (int i = 0; i < 40; ++i) {
        submit(static_cast<waiter_id>(i), "key" + std::to_string(i));
        m_wall += 20;
        for (int step = 0; step < 3; ++step) {
            advanceTime(m_limits.writeInterval);
            while (!m_calls.empty()) {
                if (std::holds_alternative<write_segment>(m_calls.front())) {
                    EXPECT_LT(takeCall<write_segment>().value.size(), 1000U);
                    decide(segment_written {object_written {"e" + std::to_string(i * 3 + step)}});
                } else {
                    EXPECT_TRUE(std::holds_alternative<remove_segment>(m_calls.front()));
                    m_calls.pop_front();
                    removed += 1;
                }
            }
        }
        report("key" + std::to_string(i), run_outcome::done);
    }
    EXPECT_EQ(m_runs.size(), 40U);
    EXPECT_GT(removed, 5U);
    EXPECT_LT(m_journal.retainedKeys(), 15U);
}
