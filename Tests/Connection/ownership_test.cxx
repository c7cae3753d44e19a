#include "lease_fleet.h"

#include <gtest/gtest.h>

using namespace daisystile;

static constexpr milliseconds takeoverLimit {5000};
static constexpr milliseconds startLimit {4000};
static const ownership_settings settings;
static const backend_server_id firstServer {"s0"};

static std::string ownerOfFirst(lease_fleet &fleet)
{
    const auto holders = fleet.holdersOf(firstServer);
    return holders.size() == 1 ? holders.front() : "none";
}

/// The daemon that takes the first server over when its owner is lost.
static std::string runnerUpOfFirst(lease_fleet &fleet)
{
    return fleet.nodes[ownerOfFirst(fleet)].choices.current().find(firstServer).runnerUp->id.value;
}

TEST(ownership, eachServerGetsOneOwnerWithinTheStartLimit)
{
    for (const int daemons : {1, 2, 3, 8}) {
        lease_fleet fleet(daemons);
        fleet.run(startLimit);
        EXPECT_TRUE(fleet.allHeldOnce()) << daemons;
        EXPECT_EQ(fleet.maxHolders, 1U);
        fleet.run(milliseconds {60000});
        EXPECT_TRUE(fleet.allHeldOnce()) << daemons;
    }
}

TEST(ownership, crashedOwnerIsReplacedWithinTheTakeoverLimit)
{
    lease_fleet fleet(3);
    fleet.run(startLimit);
    const auto lost = ownerOfFirst(fleet);
    fleet.crash(lost);
    fleet.run(settings.failureDetectionTime);
    fleet.tellOthers(lost, true);
    fleet.run(takeoverLimit - settings.failureDetectionTime);
    EXPECT_TRUE(fleet.allHeldOnce());
    EXPECT_EQ(fleet.nodes[ownerOfFirst(fleet)].startedWith[firstServer], 0);
}

TEST(ownership, runnerUpWaitsForTheLeaseOfARunningOwnerToExpire)
{
    lease_fleet fleet(3);
    fleet.run(startLimit);
    const auto owner = ownerOfFirst(fleet);
    const auto runnerUp = runnerUpOfFirst(fleet);
    fleet.tellOthers(owner, true);
    while (fleet.holdersOf(firstServer) == std::vector {owner}) {
        fleet.run(milliseconds {50});
    }
    fleet.run(milliseconds {1000});
    EXPECT_EQ(ownerOfFirst(fleet), runnerUp);
    EXPECT_EQ(fleet.maxHolders, 1U);
}

TEST(ownership, pausedOwnerHasLostItsLeaseWhenItResumes)
{
    lease_fleet fleet(3);
    fleet.run(startLimit);
    const auto owner = ownerOfFirst(fleet);
    fleet.nodes[owner].paused = true;
    fleet.run(settings.failureDetectionTime);
    fleet.tellOthers(owner, true);
    fleet.run(takeoverLimit);
    const auto successor = ownerOfFirst(fleet);
    EXPECT_NE(successor, owner);
    EXPECT_NE(successor, "none");
    fleet.nodes[owner].paused = false;
    EXPECT_LE(fleet.nodes[owner].core->leaseUntil(firstServer), fleet.now);
    fleet.run(milliseconds {1000});
    EXPECT_EQ(ownerOfFirst(fleet), successor);
    fleet.tellOthers(owner, false);
    fleet.run(milliseconds {1000});
    EXPECT_EQ(ownerOfFirst(fleet), owner);
    EXPECT_EQ(fleet.maxHolders, 1U);
}

TEST(ownership, leavingOwnerHandsOverItsLimit)
{
    lease_fleet fleet(3);
    fleet.run(startLimit);
    const auto owner = ownerOfFirst(fleet);
    const auto runnerUp = runnerUpOfFirst(fleet);
    fleet.leaving.insert(owner);
    fleet.showAll();
    fleet.run(milliseconds {1000});
    EXPECT_EQ(ownerOfFirst(fleet), runnerUp);
    EXPECT_EQ(fleet.nodes[runnerUp].startedWith[firstServer], lease_fleet::allowedWhenStopped);
    EXPECT_EQ(fleet.maxHolders, 1U);
}

TEST(ownership, joiningOwnerIsHandedTheLimit)
{
    lease_fleet fleet(3);
    fleet.run(startLimit);
    const auto owner = ownerOfFirst(fleet);
    fleet.crash(owner);
    fleet.tellOthers(owner, true);
    fleet.run(milliseconds {6000});
    fleet.start(owner);
    fleet.run(startLimit);
    EXPECT_EQ(ownerOfFirst(fleet), owner);
    EXPECT_EQ(fleet.nodes[owner].startedWith[firstServer], lease_fleet::allowedWhenStopped);
    EXPECT_EQ(fleet.maxHolders, 1U);
}

TEST(ownership, lossOfTheRunnerUpDoesNotInterruptTheOwner)
{
    lease_fleet fleet(4);
    fleet.run(startLimit);
    const auto owner = ownerOfFirst(fleet);
    const auto runnerUp = runnerUpOfFirst(fleet);
    fleet.crash(runnerUp);
    static constexpr milliseconds slowestDetection {3700};
    for (milliseconds waited {0}; waited < takeoverLimit; waited += milliseconds {50}) {
        if (waited == slowestDetection) {
            fleet.tellOthers(runnerUp, true);
        }
        fleet.run(milliseconds {50});
        EXPECT_EQ(ownerOfFirst(fleet), owner) << waited.count();
    }
}

TEST(ownership, newOwnerWaitsForALeaseOfALostOwnerAndRunnerUp)
{
    lease_fleet fleet(4);
    fleet.run(startLimit);
    const auto owner = ownerOfFirst(fleet);
    const auto runnerUp = runnerUpOfFirst(fleet);
    // The owner is only paused, just after a renewal, so its lease is still valid.
    while (fleet.nodes[owner].core->leaseUntil(firstServer) < fleet.now + settings.lease - milliseconds {50}) {
        fleet.run(milliseconds {50});
    }
    fleet.crash(runnerUp);
    fleet.nodes[owner].paused = true;
    fleet.run(settings.failureDetectionTime);
    fleet.tellOthers(owner, true);
    fleet.tellOthers(runnerUp, true);
    fleet.run(takeoverLimit);
    EXPECT_NE(ownerOfFirst(fleet), "none");
    EXPECT_EQ(fleet.maxHolders, 1U);
}

TEST(ownership, healedPartitionLeavesOneOwner)
{
    lease_fleet fleet(4);
    fleet.run(startLimit);
    const auto sideOf = [](const std::string &id) {
        return id < "d2";
    };
    fleet.reaches = [&](const std::string &from, const std::string &to) {
        return sideOf(from) == sideOf(to);
    };
    const auto tellSides = [&](bool dead) {
        for (const auto &[to, one] : fleet.nodes) {
            for (const auto &[about, other] : fleet.nodes) {
                if (sideOf(to) != sideOf(about)) {
                    fleet.tell(to, about, dead);
                }
            }
        }
    };
    fleet.run(settings.failureDetectionTime);
    tellSides(true);
    fleet.run(milliseconds {20000});
    EXPECT_EQ(fleet.maxHolders, 2U);
    EXPECT_FALSE(fleet.holdersOf(firstServer).empty());
    fleet.reaches = [](const std::string &, const std::string &) {
        return true;
    };
    tellSides(false);
    EXPECT_EQ(fleet.holders(), 1U);
    fleet.run(milliseconds {1000});
    EXPECT_TRUE(fleet.allHeldOnce());
}

TEST(ownership, silentPeersAreReported)
{
    ownership core({}, {"a"}, {});
    monotonic_time now {std::chrono::hours {1}};
    core.decide(choices_changed {{{{"s1"}, {{"a"}}, {{"b"}}}, {{"s2"}, {{"b"}}, {{"a"}}}}}, now);
    now += settings.settleTime;
    core.decide(lease_requested {{"b"}, {1}, {1, {}, {{"s2"}}}}, now);
    std::size_t reports = 0;
    for (int i = 0; i < 20; ++i) {
        now += milliseconds {100};
        for (const auto &action : core.decide(ownership_tick {}, now)) {
            reports += std::holds_alternative<peer_unresponsive>(action);
        }
    }
    EXPECT_GE(reports, 2U);
}
