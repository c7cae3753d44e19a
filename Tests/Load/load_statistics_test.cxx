#include "Load/load_report.h"

#include <gmock/gmock.h>

using namespace daisystile;

TEST(load_statistics, checksExecutesAgainstServerRecords)
{
    const std::map<std::string, key_outcomes> keys {
        {"good", {.sent = 2, .done = 2, .notRun = 0}},
        {"twice", {.sent = 1, .done = 1, .notRun = 0}},
        {"refused", {.sent = 2, .done = 0, .notRun = 2}},
        {"refused falsely", {.sent = 1, .done = 0, .notRun = 1}},
        {"refused, then done", {.sent = 2, .done = 1, .notRun = 1}},
        {"invented", {.sent = 1, .done = 1, .notRun = 0}},
    };
    const auto check = checkExecutes(keys, {{"good", 1}, {"twice", 2}, {"refused falsely", 1}, {"refused, then done", 1}});
    EXPECT_EQ(check.keys, 6U);
    EXPECT_EQ(check.done, 4U);
    EXPECT_EQ(check.duplicates, 1U);
    EXPECT_EQ(check.falseNotRun, 1U);
    EXPECT_EQ(check.falseDone, 1U);
}

TEST(load_statistics, countsLatencyFromTheScheduledArrivalInItsPhase)
{
    load_plan plan;
    plan.duration = seconds {2};
    plan.interval = seconds {1};
    plan.streams.resize(1);
    plan.phases = {{"first", seconds {0}, seconds {1}}, {"second", seconds {1}, seconds {2}}};
    load_statistics statistics(plan);
    const load_answer answer {.kind = answer_kind::partial, .shards = 10, .covered = 9};
    statistics.addAnswer(plan, {.at = milliseconds {1500}}, "", milliseconds {1600}, milliseconds {1700}, answer);
    EXPECT_EQ(statistics.phases[0][0].count(), 0U);
    const auto &second = statistics.phases[1][0];
    EXPECT_EQ(second.latency.percentile(0.5), latency_histogram::upperBound(latency_histogram::bucketOf(milliseconds {200})));
    EXPECT_EQ(second.sendLag.percentile(0.5), latency_histogram::upperBound(latency_histogram::bucketOf(milliseconds {100})));
    EXPECT_EQ(second.covered, 9U);
    EXPECT_EQ(statistics.intervals[1][0].count(), 1U);
    const auto text = toJson(plan, {statistics, {}, std::nullopt});
    EXPECT_THAT(text, testing::HasSubstr("\"coverage\": 0.9"));
}
