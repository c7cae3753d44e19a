#include <Route/route.h>

#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include <algorithm>
#include <deque>
#include <random>

using namespace daisystile;

namespace {

constexpr milliseconds window {10000};

using times = std::deque<monotonic_time>;

std::ptrdiff_t countWithin(const times &all, monotonic_time end)
{
    return std::upper_bound(all.begin(), all.end(), end) - std::upper_bound(all.begin(), all.end(), end - window);
}

// The largest number of requests in the window, in the one half a window earlier and in the previous one.
std::ptrdiff_t requestsFor(const times &requests, monotonic_time end)
{
    return std::max({countWithin(requests, end), countWithin(requests, end - window / 2), countWithin(requests, end - window)});
}

// Each request takes as many extra attempts as it gets; the request rate alternates between low and high.
void expectLimitInEveryWindow(double requestsPerSecond, double slack)
{
    constexpr double ratio = 0.2;
    // Parameters as the daemon uses them: below the limit, because requests of earlier windows count, but not always at their peak.
    retry_budget budget({.window = window, .ratio = 0.9 * ratio, .slack = 0.8 * slack, .hedgeReserve = 0});
    pcg32 random(11);
    monotonic_time now {seconds {100}};
    times requests;
    times extra;
    for (int i = 0; i < 20000; ++i) {
        const double rate = requestsPerSecond * (i % 2000 < 1000 ? 0.2 : 2);
        now += microseconds {static_cast<microseconds::rep>(1e6 * std::exponential_distribution<>(rate)(random))};
        budget.addRequest(now);
        requests.push_back(now);
        while (budget.takeForHedge(now)) {
            extra.push_back(now);
        }
        while (now - requests.front() > 2 * window) {
            requests.pop_front();
        }
        const auto allowed = ratio * static_cast<double>(requestsFor(requests, now)) + slack;
        ASSERT_LE(static_cast<double>(countWithin(extra, now)), allowed) << "after " << i << " requests";
    }
}

} // namespace

TEST(retry_budget, staysWithinLimitInEveryWindow)
{
    expectLimitInEveryWindow(1.5, 2);
    expectLimitInEveryWindow(26, 6);
    expectLimitInEveryWindow(400, 0);
}

// A daemon in a fleet of 75 sends 1.5 requests a second to a service, and one attempt in 14 needs a hedge. A budget of a
// few tokens would be empty too often.
TEST(retry_budget, deniesFewHedgesAtLowRates)
{
    retry_budget budget({.window = window, .ratio = 0.18, .slack = 2, .hedgeReserve = 0.6});
    pcg32 random(5);
    monotonic_time now {seconds {100}};
    unsigned needed = 0;
    unsigned denied = 0;
    for (int i = 0; i < 20000; ++i) {
        now += microseconds {static_cast<microseconds::rep>(1e6 * std::exponential_distribution<>(1.5)(random))};
        budget.addRequest(now);
        if (std::bernoulli_distribution(1.0 / 14)(random)) {
            needed += 1;
            denied += budget.takeForHedge(now) ? 0 : 1;
        }
    }
    EXPECT_LE(denied, needed / 20) << denied << " of " << needed;
}

TEST(retry_budget, hedgesLeaveAReserveForRetries)
{
    retry_budget budget({.window = window, .ratio = 0.2, .slack = 4, .hedgeReserve = 1});
    monotonic_time now {seconds {100}};
    EXPECT_TRUE(budget.takeForHedge(now));
    EXPECT_FALSE(budget.takeForHedge(now));
    EXPECT_TRUE(budget.take(now));
    EXPECT_FALSE(budget.take(now));
    now += window * 2;
    EXPECT_TRUE(budget.takeForHedge(now));
}
