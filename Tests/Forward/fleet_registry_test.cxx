#include <Forward/forward.h>

#include <gtest/gtest.h>

using namespace daisystile;

static platform_object entry(const std::string &name, int revision)
{
    return {fleet_registry::keyPrefix + name, std::to_string(revision), R"({"domain":"port","beat":1})"};
}

TEST(fleet_registry, countsDaemonsThatRefreshTheirEntries)
{
    const fleet_registry_limits limits {.refresh = milliseconds {1000}, .missedUntilAbsent = 3, .missedUntilRemoved = 10};
    fleet_registry fleet(limits, {{"d1"}, {"port"}});
    monotonic_time now {seconds {100}};
    EXPECT_EQ(fleet.daemons(now).size(), 1U);
    fleet.listed({{entry("d1", 1), entry("d2", 2), entry("d3", 3)}, {3}}, now);
    EXPECT_EQ(fleet.daemons(now).size(), 3U);
    now += seconds {3};
    fleet.listed({{entry("d1", 1), entry("d2", 9), entry("d3", 3)}, {9}}, now);
    const auto live = fleet.daemons(now);
    ASSERT_EQ(live.size(), 2U);
    EXPECT_EQ(live[1].id.value, "d2");
    EXPECT_TRUE(fleet.removable(now).empty());
    now += seconds {8};
    ASSERT_EQ(fleet.removable(now).size(), 1U);
    EXPECT_EQ(fleet.removable(now)[0].key, "daisystile-daemons/d3");
}

TEST(fleet_registry, refreshesLessOftenInALargeFleetAndSkipsInvalidEntries)
{
    fleet_registry fleet({.refresh = milliseconds {1000}, .fleetWritesPerSecond = 20}, {{"d1"}, {"port"}});
    object_list list;
    for (int i = 0; i < 1100; ++i) {
        list.objects.push_back(entry("e" + std::to_string(i), i + 1));
    }
    list.objects.push_back({"daisystile-daemons/bad", "1", "{"});
    fleet.listed(list, monotonic_time {seconds {1}});
    EXPECT_EQ(fleet.refreshInterval(1100), milliseconds {55000});
    EXPECT_EQ(fleet.daemons(monotonic_time {seconds {1}}).size(), 1101U);
}

// An entry that was overwritten by another writer must not make the fleet smaller at once.
TEST(fleet_registry, countsADaemonWhoseEntryWasSpoiledUntilItMissesItsRefreshes)
{
    const fleet_daemon self {{"d1"}, {"port"}, {}, {}, 1};
    const fleet_daemon other {{"d2"}, {"port"}, {}, {}, 1};
    fleet_registry registry({}, self);
    const fleet_registry elsewhere({}, other);
    const monotonic_time start {seconds {1000}};
    const platform_object key {fleet_registry::peerKeyEntry, "1", fleet_registry::peerKeyText("secret")};
    registry.listed({.objects = {key, {elsewhere.entryKey(), "2", elsewhere.entryText(1)}}}, start);
    EXPECT_EQ(registry.daemons(start).size(), 2U);
    for (const auto *spoiled : {"", "{", R"({"domain":7})", R"({"domain":"port","strength":1e300})", R"({"domain":"port","strength":-1})"}) {
        registry.listed({.objects = {{key.key, "3", spoiled}, {elsewhere.entryKey(), "4", spoiled}}}, start + seconds {10});
        EXPECT_EQ(registry.daemons(start + seconds {10}).size(), 2U) << spoiled;
        EXPECT_EQ(registry.peerKey(), "secret") << spoiled;
    }
    EXPECT_EQ(registry.daemons(start + seconds {100}).size(), 1U);
}

// Each daemon takes its share of the limits over the fleet; a fleet that looks smaller for a moment would take more than all of it.
TEST(fleet_registry, countsDaemonsWhoseEntriesARestoredStoreLacksUntilTheyCanHaveWrittenThemAgain)
{
    fleet_registry registry({.restoreGrace = seconds {10}}, {{"d1"}, {"port"}});
    const platform_object key {fleet_registry::peerKeyEntry, "1.1", fleet_registry::peerKeyText("secret")};
    monotonic_time now {seconds {100}};
    registry.listed({{key, entry("d2", 2), entry("d3", 3)}, {9, 1}}, now);
    now += seconds {5};
    registry.listed({{entry("d2", 2)}, {4, 2}}, now);
    EXPECT_EQ(registry.daemons(now).size(), 3U);
    EXPECT_EQ(registry.peerKey(), "secret");
    EXPECT_FALSE(registry.peerKeyListed()) << "it has to be written again";
    now += seconds {9};
    registry.listed({{entry("d2", 2)}, {4, 3}}, now);
    now += seconds {9};
    registry.listed({{entry("d2", 2)}, {4, 3}}, now);
    EXPECT_EQ(registry.daemons(now).size(), 3U) << "the store came back again";
    now += seconds {1};
    registry.listed({{entry("d2", 2)}, {4, 3}}, now);
    EXPECT_EQ(registry.daemons(now).size(), 2U);
}

TEST(drainStep, servesUntilTheBalancerStopsAndExitsBeforeTheKill)
{
    const milliseconds grace {6000};
    EXPECT_EQ(drainStep({milliseconds {0}, grace, 0}), drain_step::serve);
    EXPECT_EQ(drainStep({milliseconds {2900}, grace, 0}), drain_step::serve);
    EXPECT_EQ(drainStep({milliseconds {3100}, grace, 2}), drain_step::finish);
    EXPECT_EQ(drainStep({milliseconds {3100}, grace, 0}), drain_step::exit);
    EXPECT_EQ(drainStep({milliseconds {5900}, grace, 2}), drain_step::exit);
    EXPECT_EQ(drainStep({.passed = milliseconds {0}, .grace = grace, .reachable = false}), drain_step::exit) << "no client ever connected";
    EXPECT_EQ(drainStep({milliseconds {100}, milliseconds {1000}, 1}), drain_step::finish) << "too little time to wait for the balancer";
}
