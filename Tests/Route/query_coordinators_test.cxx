#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

static fleet_daemon daemonIn(const std::string &id, const std::string &domain, double strength = 1)
{
    return {{id}, {domain}, {"10.0.0.1", 7740}, {"10.0.0.1", 7741}, strength};
}

TEST(chooseCoordinators, choosesTheStrongestDaemonsOfEachDomain)
{
    std::vector<fleet_daemon> fleet {daemonIn("a1", "a", 0.5), daemonIn("a2", "a", 0.5), daemonIn("a3", "a", 0.12), daemonIn("b1", "b", 0.12)};
    const auto weak = chooseCoordinators(fleet, fleet[2]);
    EXPECT_FALSE(weak.includesSelf);
    EXPECT_EQ(weak.byDomain.at({"a"}).size(), 2U);
    EXPECT_EQ(weak.byDomain.at({"b"}).size(), 1U);
    EXPECT_TRUE(chooseCoordinators(fleet, fleet[0]).includesSelf);
    EXPECT_TRUE(chooseCoordinators(fleet, fleet[3]).includesSelf) << "the strongest of its domain, though weaker than others";
}

TEST(chooseCoordinators, leavesOutDaemonsThatTakeNoQueries)
{
    std::vector<fleet_daemon> fleet {daemonIn("a1", "a", 4), daemonIn("a2", "a")};
    fleet[0].queries = {};
    EXPECT_EQ(chooseCoordinators(fleet, fleet[0]).byDomain.at({"a"}).front().id.value, "a2");
    fleet[1].queries = {};
    const auto none = chooseCoordinators(fleet, fleet[1]);
    EXPECT_TRUE(none.includesSelf);
    EXPECT_TRUE(none.byDomain.empty());
}

TEST(chooseCoordinators, spreadsTheDaemonsOverTheCoordinators)
{
    std::vector<fleet_daemon> fleet {daemonIn("s1", "a", 1), daemonIn("s2", "a", 1), daemonIn("s3", "a", 1)};
    for (int i = 0; i < 300; ++i) {
        fleet.push_back(daemonIn("w" + std::to_string(i), "a", 0.1));
    }
    std::map<std::string, int> preferred;
    for (const auto &self : fleet) {
        preferred[chooseCoordinators(fleet, self).byDomain.at({"a"}).front().id.value] += 1;
    }
    for (const auto *id : {"s1", "s2", "s3"}) {
        EXPECT_GT(preferred[id], 60) << id;
    }
}

TEST(groupRemoteParts, coversThePartsWithFewDomains)
{
    part_locations locations {.own = {"a"}, .coordinated = {{"a"}, {"b"}, {"c"}}};
    locations.domainsOfPart = {{{"a"}, {"b"}}, {{"b"}}, {{"b"}, {"c"}}, {{"c"}}, {{"b"}}, {{"d"}}, {}};
    const auto groups = groupRemoteParts(locations);
    ASSERT_EQ(groups.size(), 2U);
    EXPECT_EQ(groups[0], (remote_parts {{"b"}, {1, 2, 4}}));
    EXPECT_EQ(groups[1], (remote_parts {{"c"}, {3}}));
}

TEST(delegate_health, excludesADaemonForLongerWithEachFailure)
{
    const monotonic_time now {seconds {100}};
    delegate_health health;
    EXPECT_TRUE(health.usable(now));
    health.failed(now);
    EXPECT_FALSE(health.usable(now + milliseconds {999}));
    EXPECT_TRUE(health.usable(now + seconds {1}));
    health.failed(now + seconds {1});
    EXPECT_FALSE(health.usable(now + milliseconds {2999}));
    EXPECT_TRUE(health.usable(now + seconds {3}));
    health.accepted();
    health.failed(now + seconds {3});
    EXPECT_TRUE(health.usable(now + seconds {4}));
}
