#include <Forward/forward.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

std::shared_ptr<const route_table> routesWithAccount()
{
    routing_configuration configuration;
    configuration.accounts.push_back({.name = {"a"}, .keys = {}, .urgency = std::nullopt, .quota = account_quota {10, 100}});
    return std::make_shared<route_table>(std::move(configuration));
}

double sumOf(const quota_parts &parts)
{
    double sum = 0;
    for (const auto &[account, part] : parts) {
        sum += part;
    }
    return sum;
}

} // namespace

// Rolling restarts of the keepers locked the quotas for a lease's time each.
TEST(quota_keeper, givesUpItsClaimsOnceNobodyHoldsTokens)
{
    reactor loop;
    quota_keeper keeper(loop, {});
    keeper.update(routesWithAccount());
    const claimed_quotas claims {{{{"a"}, 0.5}}, loop.now() + seconds {6}};
    keeper.setClaims(claims);
    const daemon_id daemon {"d"};
    quota_parts wanted;
    keeper.onWanted([&](quota_parts parts) { wanted = std::move(parts); });
    tokens_answer granted;
    for (int i = 0; i < 1000 && granted.accounts.empty(); ++i) {
        auto answer = keeper.answer(daemon, {.askedAtUs = 1, .accounts = {{.account = "a", .arrived = 5, .held = 0, .wanted = 1}}});
        granted = answer.accounts.at(0).tokens > 0 ? answer : granted;
        loop.after(milliseconds {1}, [&loop] { loop.stop(); });
        loop.run();
    }
    ASSERT_FALSE(granted.accounts.empty());
    EXPECT_FALSE(wanted.empty());
    keeper.leave();
    EXPECT_TRUE(wanted.empty());
    EXPECT_LT(keeper.answer(daemon, {.askedAtUs = 2, .accounts = {{.account = "a", .held = 1, .wanted = 1}}}).validForUs, 0);
    EXPECT_GT(sumOf(keeper.setClaims(claims)), 0) << "the daemon may still use its token";
    keeper.holdsNothing(daemon);
    EXPECT_EQ(sumOf(keeper.setClaims(claims)), 0);
}
