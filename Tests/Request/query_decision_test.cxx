#include "query_fixture.h"

#include <gtest/gtest.h>

using namespace daisystile;

static constexpr milliseconds atOnce {1};

TEST(query_decision, answersWhenTheLastShardIsIn)
{
    query_fixture fixture;
    EXPECT_EQ(actionsOf<send_attempt>(fixture.start()).size(), 4U);
    for (const std::uint32_t shard : {2U, 0U, 3U}) {
        EXPECT_FALSE(outcomeOf(fixture.run(fixture.answerOf(shard), atOnce)));
    }
    EXPECT_EQ(outcomeOf(fixture.run(fixture.answerOf(1), atOnce)), query_outcome::complete);
    EXPECT_EQ(mergeResults(fixture.state), "[0,1,2,3]");
}

TEST(query_decision, dropsDuplicateForeignAndMixedAnswers)
{
    query_fixture fixture;
    fixture.budget.addFirstAttempts(10, 1);
    fixture.start();
    const auto answer = fixture.answerOf(0);
    fixture.run(answer, atOnce);
    fixture.run(answer, atOnce);
    EXPECT_EQ(fixture.state.dropped.late, 1U);
    auto foreign = fixture.answerOf(1);
    foreign.query.incarnationNumber = {6};
    fixture.run(foreign, atOnce);
    foreign = fixture.answerOf(1);
    foreign.server = {"s2-0"};
    fixture.run(foreign, atOnce);
    foreign = fixture.answerOf(1);
    foreign.attempt = {9};
    fixture.run(foreign, atOnce);
    foreign.shard = {99};
    fixture.run(foreign, atOnce);
    EXPECT_EQ(fixture.state.dropped.foreign, 4U);
    auto mixed = fixture.answerOf(1);
    mixed.snapshot = {"snap-0"};
    EXPECT_EQ(actionsOf<send_attempt>(fixture.run(mixed, atOnce)).size(), 1U);
    auto otherMap = fixture.answerOf(2);
    otherMap.mapVersion = {2};
    fixture.run(otherMap, atOnce);
    EXPECT_EQ(fixture.state.dropped.mixed, 2U);
    EXPECT_EQ(fixture.state.answered, 1U);
}

TEST(query_decision, answersPartiallyJustBeforeTheWaitEnds)
{
    query_fixture fixture;
    const auto timers = actionsOf<set_timer>(fixture.start());
    ASSERT_FALSE(timers.empty());
    fixture.run(fixture.answerOf(0), atOnce);
    fixture.run(fixture.answerOf(3), atOnce);
    const auto left = timeLeft(testStart, fixture.state.answerDeadline);
    EXPECT_LT(fixture.state.answerDeadline, fixture.plan.callerDeadline);
    const auto actions = fixture.run(timer_fired {}, left);
    EXPECT_EQ(outcomeOf(actions), query_outcome::partial);
    EXPECT_EQ(actionsOf<cancel_attempt>(actions).size(), 2U);
    EXPECT_EQ(missingReason(fixture.state.shards[1]), attempt_failure::timed_out);
    EXPECT_EQ(mergeResults(fixture.state), "[0,3]");
}

TEST(query_decision, refusesBelowTheLeastCoverage)
{
    query_fixture fixture;
    fixture.start();
    fixture.run(fixture.answerOf(0), atOnce);
    EXPECT_EQ(outcomeOf(fixture.run(timer_fired {}, milliseconds {995})), query_outcome::too_little_coverage);
}

TEST(query_decision, restartsOnceOnTheSnapshotThatMostHold)
{
    query_fixture fixture;
    fixture.start();
    fixture.run(fixture.failureOf(0, attempt_failure::snapshot_not_held, "snap-2"), atOnce);
    fixture.run(fixture.failureOf(1, attempt_failure::snapshot_not_held, "snap-2"), atOnce);
    const auto old = fixture.answerOf(3);
    const auto actions = fixture.run(fixture.failureOf(2, attempt_failure::snapshot_not_held, "snap-2"), atOnce);
    EXPECT_EQ(actionsOf<send_attempt>(actions).size(), 4U);
    EXPECT_EQ(fixture.state.snapshot.value, "snap-2");
    fixture.run(old, atOnce);
    EXPECT_EQ(fixture.state.answered, 0U);
    EXPECT_EQ(fixture.state.dropped.late, 1U);
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
        fixture.run(fixture.answerOf(shard), atOnce);
    }
    EXPECT_EQ(fixture.state.answered, 4U);
    EXPECT_EQ(newestSnapshot(fixture.serving).value, "snap-2");
}

TEST(query_decision, doesNotRestartWhenTooLittleTimeIsLeft)
{
    query_fixture fixture;
    fixture.start();
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
        fixture.run(fixture.failureOf(shard, attempt_failure::snapshot_not_held, "snap-2"), milliseconds {988});
    }
    EXPECT_FALSE(fixture.state.restarted);
    EXPECT_EQ(fixture.state.snapshot.value, "snap-1");
}

TEST(query_decision, restartsOnANewShardMap)
{
    query_fixture fixture;
    fixture.start();
    fixture.run(fixture.answerOf(1), atOnce);
    updateCatalogue(fixture.serving, query_fixture::makeService(6, 3, "snap-1", 2));
    fixture.budget.addFirstAttempts(100, 1);
    const auto actions = fixture.run(fixture.failureOf(0, attempt_failure::shard_not_here), atOnce);
    EXPECT_EQ(actionsOf<send_attempt>(actions).size(), 6U);
    EXPECT_EQ(fixture.state.index->catalogue->mapVersion.value, 2U);
    EXPECT_EQ(fixture.state.answered, 0U);
}

TEST(query_decision, retriesElsewhereOnlyWithinTheBudget)
{
    query_fixture fixture;
    fixture.start();
    EXPECT_TRUE(actionsOf<send_attempt>(fixture.run(fixture.failureOf(0, attempt_failure::shed), atOnce)).empty());
    EXPECT_EQ(missingReason(fixture.state.shards[0]), attempt_failure::shed);
    fixture.budget.addFirstAttempts(1, 1);
    const auto first = fixture.state.shards[1].attempts[0].server;
    const auto sent = actionsOf<send_attempt>(fixture.run(fixture.failureOf(1, attempt_failure::shed), atOnce));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_NE(sent[0].server, first);
    // A draining server did no work, so the retry takes nothing from the budget.
    EXPECT_EQ(actionsOf<send_attempt>(fixture.run(fixture.failureOf(2, attempt_failure::draining), atOnce)).size(), 1U);
    EXPECT_LT(fixture.budget.available(), 1);
}

TEST(query_decision, hedgesSlowShardsAndCancelsTheLoser)
{
    query_fixture fixture;
    fixture.budget.addFirstAttempts(21, 1);
    fixture.start();
    fixture.run(fixture.answerOf(0), atOnce);
    const auto hedges = actionsOf<send_attempt>(fixture.run(timer_fired {}, milliseconds {25}));
    ASSERT_EQ(hedges.size(), 1U);
    const auto shard = hedges[0].shard;
    const auto actions = fixture.run(fixture.answerOf(shard.value), milliseconds {26});
    const auto cancelled = actionsOf<cancel_attempt>(actions);
    ASSERT_EQ(cancelled.size(), 1U);
    EXPECT_EQ(cancelled[0].attempt.value, 0U);
}

TEST(query_decision, neverHedgesWithoutPolicyOrTowardsAKnownStraggler)
{
    for (const auto policy : {hedge_policy::none, hedge_policy::quantile_with_suppression}) {
        query_fixture fixture(1, 2);
        fixture.serving.hedging = policy;
        fixture.budget.addFirstAttempts(50, 1);
        fixture.start();
        for (std::uint32_t i = 0; i < 2; ++i) {
            fixture.serving.loads.report({i}, {.allowed = 1, .latencyUs = 500'000}, testStart);
        }
        EXPECT_TRUE(actionsOf<send_attempt>(fixture.run(timer_fired {}, milliseconds {25})).empty());
    }
}

TEST(query_decision, learnsThatAServerIsSlowFromAttemptsThatAreNeverAnswered)
{
    query_fixture fixture(1, 2);
    fixture.budget.addFirstAttempts(50, 1);
    fixture.start();
    const auto straggler = fixture.state.shards[0].attempts[0].server;
    fixture.run(timer_fired {}, milliseconds {25});
    fixture.run(fixture.answerOf(0), milliseconds {30});
    for (std::uint64_t query = 2; query < 8; ++query) {
        fixture.plan.query.query = {query};
        EXPECT_NE(actionsOf<send_attempt>(fixture.start()).at(0).server, straggler);
        fixture.run(fixture.answerOf(0), milliseconds {31});
    }
}

TEST(query_decision, leavesAReserveForRetriesWhenItHedges)
{
    query_fixture fixture;
    fixture.budget.addFirstAttempts(21, 1);
    fixture.start();
    EXPECT_EQ(actionsOf<send_attempt>(fixture.run(timer_fired {}, milliseconds {25})).size(), 1U);
    EXPECT_EQ(actionsOf<send_attempt>(fixture.run(fixture.failureOf(3, attempt_failure::shed), milliseconds {26})).size(), 1U);
}

TEST(query_decision, triesOtherReplicasWhenAPeerIsLost)
{
    query_fixture fixture;
    fixture.budget.addFirstAttempts(10, 1);
    fixture.start();
    const auto actions = fixture.run(peer_lost {{{{0}, {0}, {}}, {{1}, {0}, {}}, {{1}, {5}, {}}, {{77}, {0}, {}}}}, atOnce);
    EXPECT_EQ(actionsOf<send_attempt>(actions).size(), 2U);
}

TEST(query_decision, waitsForJudgementAfterACrash)
{
    query_fixture fixture;
    fixture.budget.addFirstAttempts(10, 1);
    fixture.start();
    auto actions = fixture.run(fixture.failureOf(0, attempt_failure::server_lost), atOnce);
    EXPECT_TRUE(actionsOf<send_attempt>(actions).empty());
    ASSERT_EQ(actionsOf<report_crash>(actions).size(), 1U);
    EXPECT_TRUE(actionsOf<send_attempt>(fixture.run(timer_fired {}, milliseconds {25})).size() <= 3U);
    actions = fixture.run(crash_verdict {.shard = {0}, .mayRetry = true}, milliseconds {26});
    EXPECT_EQ(actionsOf<send_attempt>(actions).size(), 1U);
    fixture.run(fixture.failureOf(0, attempt_failure::server_lost), milliseconds {27});
    EXPECT_EQ(outcomeOf(fixture.run(crash_verdict {.shard = {0}, .quarantined = true}, milliseconds {28})), query_outcome::quarantined);
}

TEST(query_decision, asksOneShardFirstWhenTheRequestIsNew)
{
    query_fixture fixture;
    fixture.plan.canary = shard_index {2};
    auto sent = actionsOf<send_attempt>(fixture.start());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].shard.value, 2U);
    const auto actions = fixture.run(fixture.answerOf(2), atOnce);
    EXPECT_EQ(actionsOf<report_trial_passed>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<send_attempt>(actions).size(), 3U);
}

TEST(result_merge, cutsResultsOutAndRefusesOtherBodies)
{
    const auto cut = [](const std::string &body) {
        const auto slice = findResults(body);
        return slice ? body.substr(slice->begin, slice->end - slice->begin) : "none";
    };
    EXPECT_EQ(cut(R"({"a":[1],"results":[{"b":[2,"]"]},3],"c":{"results":[4]}})"), R"({"b":[2,"]"]},3)");
    EXPECT_EQ(cut("[1, [2]]"), "1, [2]");
    EXPECT_EQ(cut(R"({"results": [ ] })"), " ");
    for (const char *bad : {"", "7", "{}", R"({"results":7})", R"({"results":[1]} x)", R"({"results":[1)", R"({"c":{"results":[4]}})"}) {
        EXPECT_EQ(cut(bad), "none") << bad;
    }
    std::string array = "[";
    for (const std::string body : {"[]", "[1,2]", "[ ]", "[3]"}) {
        appendResults(array, body, *findResults(body));
    }
    EXPECT_EQ(array, "[1,2,3");
}

TEST(recent_latencies, forgetsWhatIsLongPast)
{
    recent_latencies latencies;
    for (int i = 0; i < 10'000; ++i) {
        latencies.add(milliseconds {i < 5000 ? 50 : 1});
    }
    EXPECT_LT(latencies.quantile(0.99), microseconds {1100});
    EXPECT_GT(latencies.count(), 2000U);
}

TEST(server_loads, prefersTheQuickAndComesBackToTheOnceSlow)
{
    server_loads loads;
    const std::vector<server_number> replicas {loads.numberOf({"a"}), loads.numberOf({"b"})};
    loads.report(replicas[0], {.allowed = 3, .latencyUs = 40'000}, testStart);
    loads.report(replicas[1], {.allowed = 3, .latencyUs = 2'000}, testStart);
    EXPECT_EQ(loads.choose(replicas, {}, 0, testStart), replicas[1]);
    loads.report(replicas[1], {.allowed = 3, .latencyUs = 2'000}, testStart + seconds {16});
    EXPECT_EQ(loads.choose(replicas, {}, 0, testStart + seconds {16}), replicas[0]);
    loads.avoid(replicas[0], testStart + seconds {17});
    EXPECT_EQ(loads.choose(replicas, {}, 0, testStart + seconds {16}), replicas[1]);
}
