#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

/// One request whose attempts the test starts and ends.
class forward_decision : public testing::Test
{
protected:
    void begin(std::size_t parts, std::size_t requiredParts, retry_policy retryPolicy, unsigned maxAttempts = 2)
    {
        m_state = beginForward({.retryPolicy = retryPolicy,
            .parts = parts,
            .minParts = requiredParts,
            .maxAttempts = maxAttempts,
            .partialAnswerAt = m_now + milliseconds {100},
            .timeoutAt = m_now + milliseconds {1000}});
        on(forward_begun {});
        for (part_index part = 0; part < parts; ++part) {
            on(attempt_started {part, attempt_purpose::first, milliseconds {30}});
        }
    }

    forward_actions on(const forward_event &event)
    {
        forward_actions actions;
        decide(m_state, event, m_now, actions);
        return actions;
    }

    forward_actions end(part_index part, attempt_end how)
    {
        return on(attempt_ended {part, how});
    }

    forward_actions tickAt(milliseconds time)
    {
        m_now = m_start + time;
        return on(timer_expired {});
    }

    template<class Action> static bool only(const forward_actions &actions)
    {
        return actions.size() == 1 && std::holds_alternative<Action>(actions[0]);
    }

    monotonic_time m_start {seconds {100}};
    monotonic_time m_now = m_start;
    forward_state m_state;
};

TEST_F(forward_decision, answersWhenAllPartsAreAnswered)
{
    begin(2, 1, retry_policy::idempotent);
    EXPECT_TRUE(end(0, attempt_end::answered).empty());
    EXPECT_TRUE(only<answer_request>(end(1, attempt_end::answered)));
    EXPECT_TRUE(end(1, attempt_end::failed).empty());
}

// A shard's server stalls longer than the objective: the request must be answered without it.
TEST_F(forward_decision, answersAtTheObjectiveWithEnoughParts)
{
    begin(10, 9, retry_policy::idempotent);
    for (part_index part = 0; part < 9; ++part) {
        end(part, attempt_end::answered);
    }
    EXPECT_EQ(nextTimer(m_state), m_start + milliseconds {30});
    const auto hedge = tickAt(milliseconds {30});
    ASSERT_TRUE(only<start_attempt>(hedge));
    EXPECT_EQ(std::get<start_attempt>(hedge[0]).purpose, attempt_purpose::hedge);
    on(attempt_denied {9, attempt_purpose::hedge});
    EXPECT_EQ(nextTimer(m_state), m_start + milliseconds {100});
    EXPECT_TRUE(tickAt(milliseconds {99}).empty());
    EXPECT_TRUE(only<answer_request>(tickAt(milliseconds {100})));
}

TEST_F(forward_decision, waitsBeyondTheObjectiveForMinParts)
{
    begin(10, 9, retry_policy::idempotent);
    for (part_index part = 0; part < 8; ++part) {
        end(part, attempt_end::answered);
    }
    tickAt(milliseconds {30});
    EXPECT_TRUE(tickAt(milliseconds {100}).empty());
    EXPECT_TRUE(only<answer_request>(end(8, attempt_end::answered)));
}

TEST_F(forward_decision, retriesAFailedPartOnceOnAnotherServer)
{
    begin(1, 1, retry_policy::idempotent);
    const auto retry = end(0, attempt_end::failed);
    ASSERT_TRUE(only<start_attempt>(retry));
    EXPECT_EQ(std::get<start_attempt>(retry[0]).purpose, attempt_purpose::retry);
    on(attempt_started {0, attempt_purpose::retry, milliseconds {30}});
    const auto failed = end(0, attempt_end::failed);
    ASSERT_TRUE(only<fail_request>(failed));
    EXPECT_EQ(std::get<fail_request>(failed[0]).failure, forward_failure::servers_failed);
}

TEST_F(forward_decision, doesNotRetryAtMostOnceRequestThatMayHaveRun)
{
    begin(1, 1, retry_policy::at_most_once);
    EXPECT_EQ(nextTimer(m_state), m_start + milliseconds {1000});
    const auto failed = end(0, attempt_end::failed);
    ASSERT_TRUE(only<fail_request>(failed));
    EXPECT_EQ(std::get<fail_request>(failed[0]).failure, forward_failure::servers_failed);
}

TEST_F(forward_decision, retriesAtMostOnceRequestThatWasNotRun)
{
    begin(1, 1, retry_policy::at_most_once);
    for (int i = 0; i < 2; ++i) {
        ASSERT_TRUE(only<start_attempt>(end(0, attempt_end::not_run)));
        on(attempt_started {0, attempt_purpose::retry, milliseconds {30}});
    }
    const auto failed = end(0, attempt_end::not_run);
    ASSERT_TRUE(only<fail_request>(failed));
    EXPECT_EQ(std::get<fail_request>(failed[0]).failure, forward_failure::not_run);
}

// More shards are lost than may be missing: the request must fail without waiting for its timeout.
TEST_F(forward_decision, failsAtOnceWhenTooManyPartsAreLost)
{
    begin(10, 9, retry_policy::idempotent);
    for (part_index part = 0; part < 8; ++part) {
        end(part, attempt_end::answered);
    }
    end(8, attempt_end::failed);
    EXPECT_TRUE(on(attempt_denied {8, attempt_purpose::retry}).empty());
    end(9, attempt_end::failed);
    EXPECT_TRUE(only<fail_request>(on(attempt_denied {9, attempt_purpose::retry})));
}

TEST_F(forward_decision, reportsTimeoutWhileAnAttemptIsRunning)
{
    begin(1, 1, retry_policy::at_most_once);
    const auto failed = tickAt(milliseconds {1000});
    ASSERT_TRUE(only<fail_request>(failed));
    EXPECT_EQ(std::get<fail_request>(failed[0]).failure, forward_failure::timed_out);
}

// All servers are full until the timeout, so no server has run the request and the client may retry it.
TEST_F(forward_decision, reportsNotRunIfNoServerWasAvailable)
{
    m_state =
        beginForward({.retryPolicy = retry_policy::at_most_once, .partialAnswerAt = m_now + milliseconds {100}, .timeoutAt = m_now + milliseconds {1000}});
    on(forward_begun {});
    EXPECT_TRUE(on(no_server_available {0, attempt_purpose::first}).empty());
    const auto again = on(capacity_available {});
    ASSERT_TRUE(only<start_attempt>(again));
    EXPECT_EQ(std::get<start_attempt>(again[0]).purpose, attempt_purpose::first);
    on(no_server_available {0, attempt_purpose::first});
    const auto failed = tickAt(milliseconds {1000});
    ASSERT_TRUE(only<fail_request>(failed));
    EXPECT_EQ(std::get<fail_request>(failed[0]).failure, forward_failure::not_run);
}

TEST_F(forward_decision, failedHedgeDoesNotEndThePart)
{
    begin(1, 1, retry_policy::idempotent);
    ASSERT_TRUE(only<start_attempt>(tickAt(milliseconds {30})));
    on(attempt_started {0, attempt_purpose::hedge, milliseconds {30}});
    EXPECT_TRUE(end(0, attempt_end::failed).empty());
    EXPECT_TRUE(only<answer_request>(end(0, attempt_end::answered)));
}

// Two shards were refused by all their servers while the others still ran: 503 would have told the client that nothing ran.
TEST_F(forward_decision, doesNotReportNotRunWhileOtherPartsAreRunning)
{
    begin(4, 4, retry_policy::idempotent);
    for (int i = 0; i < 2; ++i) {
        ASSERT_TRUE(only<start_attempt>(end(0, attempt_end::not_run)));
        on(attempt_started {0, attempt_purpose::retry, milliseconds {30}});
    }
    const auto failed = end(0, attempt_end::not_run);
    ASSERT_TRUE(only<fail_request>(failed));
    EXPECT_EQ(std::get<fail_request>(failed[0]).failure, forward_failure::servers_failed);
}

// Parts for another daemon: a lost part must not cost the others.
TEST_F(forward_decision, answersWithAnyPartsOnceNoMoreCanCome)
{
    begin(3, 3, retry_policy::idempotent, 1);
    m_state.terms.acceptsAny = true;
    EXPECT_TRUE(end(0, attempt_end::failed).empty());
    EXPECT_TRUE(end(1, attempt_end::answered).empty());
    EXPECT_TRUE(tickAt(milliseconds {100}).empty()) << "too few parts for an early answer";
    EXPECT_TRUE(only<answer_request>(tickAt(milliseconds {1000})));
}

TEST_F(forward_decision, failsWithoutAnyPart)
{
    begin(2, 2, retry_policy::idempotent, 1);
    m_state.terms.acceptsAny = true;
    EXPECT_TRUE(end(0, attempt_end::failed).empty());
    EXPECT_TRUE(only<fail_request>(end(1, attempt_end::failed)));
}

// 18 of 30 listed servers were gone; a request that met three of them was refused, though others were free.
TEST_F(forward_decision, serversThatAreGoneAreNoRefusals)
{
    for (const auto policy : {retry_policy::idempotent, retry_policy::at_most_once}) {
        begin(1, 1, policy, 1);
        for (int gone = 0; gone < 10; ++gone) {
            const auto next = end(0, attempt_end::unreached);
            ASSERT_TRUE(only<start_attempt>(next)) << gone;
            on(attempt_started {0, attempt_purpose::retry, milliseconds {30}});
        }
        EXPECT_TRUE(only<answer_request>(end(0, attempt_end::answered)));
    }
}

TEST_F(forward_decision, triesABoundedNumberOfServersThatAreGone)
{
    begin(1, 1, retry_policy::idempotent, 1);
    int attempts = 1;
    auto next = end(0, attempt_end::unreached);
    for (; only<start_attempt>(next) && attempts < 100; ++attempts) {
        on(attempt_started {0, attempt_purpose::retry, milliseconds {30}});
        next = end(0, attempt_end::unreached);
    }
    EXPECT_LT(attempts, 20);
    ASSERT_TRUE(only<fail_request>(next));
    EXPECT_EQ(std::get<fail_request>(next[0]).failure, forward_failure::not_run);
}
