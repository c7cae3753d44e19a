#include "Load/arrival_schedule.h"

#include <gtest/gtest.h>

#include <cmath>
#include <set>

using namespace daisystile;

static load_plan planOf(double rate, unsigned threads)
{
    load_plan plan;
    plan.seed = 3;
    plan.threads = threads;
    plan.duration = seconds {10};
    plan.targets.resize(4);
    plan.streams.resize(2);
    for (auto &stream : plan.streams) {
        stream.ratePerSecond = rate;
        stream.to = plan.duration;
    }
    plan.streams[1].targets = {2};
    return plan;
}

static std::vector<arrival> arrivalsOf(const load_plan &plan)
{
    std::vector<arrival> all;
    for (unsigned thread = 0; thread < plan.threads; ++thread) {
        arrival_schedule schedule(plan, thread);
        while (const auto next = schedule.next()) {
            all.push_back(*next);
        }
    }
    return all;
}

TEST(arrival_schedule, keepsTheRateOverAllThreads)
{
    for (const unsigned threads : {1U, 3U}) {
        const auto all = arrivalsOf(planOf(1000, threads));
        // The tolerance is ten standard deviations of a Poisson count with mean 20,000.
        EXPECT_NEAR(static_cast<double>(all.size()), 20'000, 10 * std::sqrt(20'000.0));
    }
}

TEST(arrival_schedule, isDeterministicAndOrderedByTime)
{
    const auto plan = planOf(500, 1);
    const auto firstRun = arrivalsOf(plan);
    const auto secondRun = arrivalsOf(plan);
    ASSERT_EQ(firstRun.size(), secondRun.size());
    for (std::size_t i = 0; i < firstRun.size(); ++i) {
        EXPECT_EQ(firstRun[i].at, secondRun[i].at);
        EXPECT_TRUE(i == 0 || firstRun[i - 1].at <= firstRun[i].at);
        EXPECT_TRUE(firstRun[i].stream == 0 || firstRun[i].target == 2);
    }
}

TEST(arrival_schedule, numbersAreUniqueExceptForResends)
{
    auto plan = planOf(500, 3);
    plan.streams.resize(1);
    plan.streams[0].resendShare = 0.2;
    std::set<std::uint64_t> numbers;
    std::size_t resends = 0;
    const auto all = arrivalsOf(plan);
    for (const auto &next : all) {
        resends += next.resend ? 1 : 0;
        EXPECT_EQ(numbers.insert(next.number).second, !next.resend);
    }
    EXPECT_NEAR(static_cast<double>(resends) / static_cast<double>(all.size()), 0.2, 0.05);
}

TEST(arrival_schedule, staysWithinTheTimeSpanOfTheStream)
{
    auto plan = planOf(500, 1);
    plan.streams.resize(1);
    plan.streams[0].from = seconds {2};
    plan.streams[0].to = seconds {3};
    for (const auto &next : arrivalsOf(plan)) {
        EXPECT_GE(next.at, seconds {2});
        EXPECT_LT(next.at, seconds {3});
    }
}
