#include "quota_replay.h"

#include <gtest/gtest.h>

using namespace daisystile;

// At 79, 300 and 1,100 daemons, with even and uneven clients: the bound holds in every window, and hardly anything is refused of an
// account that asks for five eighths of its quota; more of a small one, whose burst is less than a token.
TEST(quota_replay, refusesLittleBelowTheQuotaAndKeepsTheBoundBeyondIt)
{
    struct setting
    {
        unsigned daemons;
        unsigned domains;
        double quotaRate;
        double firstShare;
        double maxRefused;
    };
    const std::vector<setting> settings {{79, 4, 24, 0, 0.05},
        {79, 4, 24, 0.6, 0.05},
        {79, 4, 2, 0, 0.02},
        {300, 6, 24, 0, 0.05},
        {1100, 9, 240, 0, 0.05},
        {1100, 9, 24, 0.6, 0.08},
        {1100, 9, 2, 0, 0.12}};
    for (const auto &each : settings) {
        const account_quota quota {each.quotaRate, each.quotaRate / 4};
        const double usual = each.quotaRate / 1.6;
        quota_replay calm(
            {.daemons = each.daemons, .domains = each.domains, .quota = quota, .rate = [usual](milliseconds) { return usual; }, .firstShare = each.firstShare});
        calm.run();
        quota_replay hot({.daemons = each.daemons,
            .domains = each.domains,
            .quota = quota,
            .rate = [usual](milliseconds time) { return time > seconds {30} && time < seconds {50} ? 7 * usual : usual; },
            .firstShare = each.firstShare});
        hot.run();
        const double refused = 1 - static_cast<double>(calm.runs.size()) / calm.asked;
        std::cout << each.daemons << " daemons, rate " << each.quotaRate << ", first share " << each.firstShare << ": refused below the quota " << refused
                  << ", largest window " << calm.largestWindow() << " and at 7 times " << hot.largestWindow() << " of " << hot.bound() << ", writes a second "
                  << calm.writes / 80.0 << " and " << hot.writes / 80.0 << std::endl;
        EXPECT_LE(hot.largestWindow(), hot.bound());
        EXPECT_LT(refused, each.maxRefused);
    }
}
