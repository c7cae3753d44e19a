#include "member_fleet.h"

#include <gtest/gtest.h>

using namespace daisystile;

static constexpr milliseconds takeoverLimit {5000};

/// Three failure domains with daemons a0, a1, ..., b0, ..., c0, ...
static void startFleet(member_fleet &fleet, int perDomain)
{
    for (const std::string domain : {"a", "b", "c"}) {
        for (int i = 0; i < perDomain; ++i) {
            fleet.start(domain + std::to_string(i), domain);
        }
    }
    fleet.run(milliseconds {10000});
}

static std::uint64_t changesIn(member_fleet &fleet)
{
    std::uint64_t sum = 0;
    for (const auto &[id, node] : fleet.nodes) {
        sum += node.changes;
    }
    return sum;
}

TEST(membership, findsAllMembersFromAnOutdatedHostList)
{
    member_fleet fleet(1);
    startFleet(fleet, 3);
    for (const auto &[id, node] : fleet.nodes) {
        EXPECT_TRUE(fleet.allAgree(id, member_state::alive)) << id;
    }
}

TEST(membership, idleFleetReportsNoChanges)
{
    member_fleet fleet(2);
    startFleet(fleet, 4);
    const auto before = changesIn(fleet);
    fleet.run(milliseconds {60000});
    EXPECT_EQ(changesIn(fleet), before);
}

TEST(membership, crashedDaemonIsDeclaredDeadWithinTheTakeoverLimit)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        member_fleet fleet(seed);
        startFleet(fleet, 3);
        fleet.crash("b1");
        fleet.inject("b0", member_unresponsive {{"b1"}});
        const auto took = fleet.runUntil([&] { return fleet.allAgree("b1", member_state::dead); }, takeoverLimit);
        EXPECT_TRUE(took) << seed;
    }
}

TEST(membership, restartedDaemonGetsAGreaterLife)
{
    member_fleet fleet(3);
    startFleet(fleet, 3);
    fleet.crash("a0");
    fleet.start("a0", "a", 2);
    fleet.run(milliseconds {3000});
    EXPECT_EQ(fleet.nodes["b0"].core->table().find({"a0"})->subject.incarnationNumber.value, 2U);
    fleet.crash("a0");
    // After a backward step of its clock, the daemon chooses a greater incarnation number by itself.
    fleet.start("a0", "a", 1);
    fleet.run(milliseconds {5000});
    EXPECT_EQ(fleet.nodes["b0"].core->table().find({"a0"})->subject.incarnationNumber.value, 3U);
    EXPECT_TRUE(fleet.allAgree("a0", member_state::alive));
}

TEST(membership, resumedEarlierLifeIsSuperseded)
{
    member_fleet fleet(4);
    startFleet(fleet, 3);
    auto earlier = fleet.nodes["a0"];
    fleet.crash("a0");
    fleet.start("a0", "a", 2);
    fleet.run(milliseconds {5000});
    std::swap(fleet.nodes["a0"], earlier);
    fleet.run(milliseconds {5000});
    EXPECT_TRUE(fleet.nodes["a0"].superseded);
}

TEST(membership, indirectProbesPreventSuspicionWhenOneLinkFails)
{
    member_fleet fleet(5);
    startFleet(fleet, 4);
    fleet.reaches = [](const std::string &from, const std::string &to) {
        return !(from == "a0" && to == "a1") && !(from == "a1" && to == "a0");
    };
    EXPECT_FALSE(fleet.suspicionArises(milliseconds {60000}));
}

TEST(membership, resumedDaemonDoesNotSuspectOthers)
{
    member_fleet fleet(6);
    startFleet(fleet, 3);
    // A probe is still pending when the daemon is paused.
    fleet.reaches = [](const std::string &from, const std::string &) {
        return from != "a0";
    };
    fleet.run(milliseconds {600});
    fleet.reaches = [](const std::string &, const std::string &) {
        return true;
    };
    fleet.pause("a0");
    fleet.run(milliseconds {10000});
    EXPECT_TRUE(fleet.allAgree("a0", member_state::dead));
    const auto before = fleet.nodes["a0"].changes;
    fleet.nodes["a0"].buffered.clear();
    fleet.resume("a0");
    EXPECT_FALSE(fleet.suspicionArises(milliseconds {5000}, "a0"));
    EXPECT_TRUE(fleet.allAgree("a0", member_state::alive));
    for (const auto &[id, node] : fleet.nodes) {
        EXPECT_TRUE(fleet.allAgree(id, member_state::alive)) << id;
    }
    EXPECT_EQ(fleet.nodes["a0"].changes, before);
}

TEST(membership, healedPartitionCausesOneChangePerMember)
{
    member_fleet fleet(7);
    startFleet(fleet, 3);
    fleet.reaches = [](const std::string &from, const std::string &to) {
        return (from[0] == 'a') == (to[0] == 'a');
    };
    fleet.run(milliseconds {120000});
    EXPECT_EQ(fleet.stateOf("a0", "a1"), member_state::alive);
    EXPECT_EQ(fleet.stateOf("b0", "c1"), member_state::alive);
    EXPECT_EQ(fleet.stateOf("b0", "a1"), member_state::dead);
    EXPECT_EQ(fleet.stateOf("a1", "b0"), member_state::dead);
    std::map<std::string, std::uint64_t> before;
    for (const auto &[id, node] : fleet.nodes) {
        before[id] = node.changes;
        // The host list may be unavailable too; the daemons must find each other without it.
        fleet.inject(id, hosts_listed {});
    }
    fleet.reaches = [](const std::string &, const std::string &) {
        return true;
    };
    fleet.run(milliseconds {30000});
    for (const auto &[id, node] : fleet.nodes) {
        EXPECT_TRUE(fleet.allAgree(id, member_state::alive)) << id;
        const std::uint64_t othersSide = id[0] == 'a' ? 6 : 3;
        EXPECT_EQ(node.changes - before[id], othersSide) << id;
    }
}

TEST(membership, leavingIsAnnouncedAndEndsAsDead)
{
    member_fleet fleet(8);
    startFleet(fleet, 3);
    fleet.inject("c1", leave_started {});
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.allAgree("c1", member_state::leaving); }, milliseconds {2000}));
    fleet.inject("c1", leave_finished {});
    fleet.crash("c1");
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.allAgree("c1", member_state::dead); }, milliseconds {2000}));
}

TEST(membership, costIsBoundedAtEveryFleetSize)
{
    static constexpr double controlBytesPerSecond = 5000;
    static constexpr int runSeconds = 20;
    for (const int perDomain : {3, 20}) {
        member_fleet fleet(9);
        fleet.countBytes = true;
        startFleet(fleet, perDomain);
        for (auto &[id, node] : fleet.nodes) {
            node.sent = 0;
            node.sentBytes = 0;
        }
        fleet.run(seconds {runSeconds});
        for (const auto &[id, node] : fleet.nodes) {
            EXPECT_LT(static_cast<double>(node.sentBytes) / runSeconds, controlBytesPerSecond) << id;
            EXPECT_LT(node.sent / runSeconds, 10U) << id;
        }
    }
}
