#include "gate_driver.h"

#include <gtest/gtest.h>

using namespace daisystile;

static constexpr milliseconds backToFullLimit {35000};

static gate_settings threeSlots()
{
    gate_settings settings;
    settings.slots = 3;
    return settings;
}

/// A gate whose limit has risen to all slots.
static gate_driver warmDriver()
{
    gate_driver driver(threeSlots());
    driver.inject(gate_opened {});
    driver.run(backToFullLimit);
    EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
    return driver;
}

TEST(slot_gate, newServerStartsWithOneRequestAndItsLimitRises)
{
    gate_driver driver(threeSlots());
    driver.inject(gate_opened {});
    driver.run(milliseconds {1000});
    EXPECT_EQ(driver.maxRunning, 1U);
    driver.run(backToFullLimit);
    EXPECT_EQ(driver.maxRunning, 3U);
}

TEST(slot_gate, coldServerOfUnknownSpeedIsNeverOverloaded)
{
    gate_driver driver(threeSlots());
    driver.coldUntil = driver.now + driver.warmUp;
    driver.inject(gate_opened {});
    driver.run(backToFullLimit);
    EXPECT_EQ(driver.overColdCapacity, 0U);
    EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
}

TEST(slot_gate, restartedServerIsNeverOverloadedAndComesBack)
{
    for (const double coldFactor : {1.0, 3.0}) {
        auto driver = warmDriver();
        driver.coldFactor = coldFactor;
        driver.restartServer(milliseconds {200});
        driver.run(backToFullLimit);
        EXPECT_EQ(driver.overColdCapacity, 0U) << coldFactor;
        EXPECT_EQ(driver.gate.allowed(driver.now), 3U) << coldFactor;
    }
}

TEST(slot_gate, limitStaysLowDuringASlowWarmUp)
{
    auto driver = warmDriver();
    driver.warmUp = milliseconds {40000};
    driver.restartServer(milliseconds {200});
    driver.run(milliseconds {70000});
    EXPECT_EQ(driver.overColdCapacity, 0U);
    EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
}

TEST(slot_gate, restartWhileIdleIsDetectedByASingleRequest)
{
    auto driver = warmDriver();
    driver.run(milliseconds {300}, 0);
    driver.restartServer(milliseconds {200});
    driver.run(milliseconds {1000}, 0);
    driver.run(backToFullLimit);
    EXPECT_EQ(driver.overColdCapacity, 0U);
}

/// Restarts the server this long after its last answer. The cold server answers as fast as a warm one, as it appears to a
/// busy host, so only the closed connection shows the restart.
static void expectRestartDetectedByClosedConnection(milliseconds sinceLastAnswer)
{
    auto driver = warmDriver();
    driver.coldFactor = 1;
    driver.run(sinceLastAnswer, 0);
    driver.restartServer(milliseconds {200});
    driver.inject(kept_connection_ended {sinceLastAnswer});
    driver.run(milliseconds {200}, 0);
    driver.run(backToFullLimit);
    EXPECT_EQ(driver.overColdCapacity, 0U);
    EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
}

TEST(slot_gate, restartBetweenTwoRequestsIsDetectedByClosedConnections)
{
    // Long enough for all queued requests to be answered.
    expectRestartDetectedByClosedConnection(milliseconds {30});
}

TEST(slot_gate, restartOfAnIdleServerIsDetectedByClosedConnections)
{
    expectRestartDetectedByClosedConnection(milliseconds {5000});
}

TEST(slot_gate, closedIdleConnectionChangesNothingWhileOthersAnswer)
{
    auto driver = warmDriver();
    driver.inject(kept_connection_ended {milliseconds {5000}});
    EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
}

TEST(slot_gate, serverThatTurnsColdUnnoticedIsOverloadedAtMostOnce)
{
    auto driver = warmDriver();
    driver.coldUntil = driver.now + driver.warmUp;
    driver.run(backToFullLimit);
    // Each slot may get one request before the first answer or stall shows that the server is cold.
    EXPECT_LE(driver.overColdCapacity, driver.slots);
    EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
}

TEST(slot_gate, slowServerIsTreatedAsCold)
{
    auto driver = warmDriver();
    driver.usualUs *= driver.coldFactor;
    driver.run(milliseconds {100});
    EXPECT_EQ(driver.gate.allowed(driver.now), 1U);
    // After the hold, the slow latency is accepted as the warm one.
    driver.run(milliseconds {70000});
    EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
}

TEST(slot_gate, stalledServerGetsNoMoreRequests)
{
    auto driver = warmDriver();
    driver.run(milliseconds {50}, 0);
    driver.arrive();
    driver.running.begin()->second.endsAt += milliseconds {1000};
    driver.run(milliseconds {120}, 0);
    const auto before = driver.started;
    driver.run(milliseconds {300});
    EXPECT_EQ(driver.started, before);
}

TEST(slot_gate, refusalsByTheServerLowerTheLimit)
{
    auto driver = warmDriver();
    const auto id = driver.running.begin()->first;
    driver.running.erase(id);
    driver.inject(request_ended {id, request_end::shed});
    EXPECT_EQ(driver.gate.allowed(driver.now), 2U);
}

TEST(slot_gate, drainingServerGetsNoRequestsUntilItWasUnreachable)
{
    auto driver = warmDriver();
    driver.draining = true;
    driver.run(milliseconds {20});
    const auto before = driver.started;
    for (int i = 0; i < 50; ++i) {
        driver.run(milliseconds {500});
        driver.inject(health_seen {health_state::healthy});
    }
    EXPECT_EQ(driver.started, before);
    EXPECT_GT(driver.refusals[attempt_failure::draining], 0U);
    driver.draining = false;
    driver.coldUntil = driver.now + driver.warmUp;
    driver.inject(health_seen {health_state::unreachable});
    driver.inject(health_seen {health_state::healthy});
    driver.run(backToFullLimit);
    EXPECT_EQ(driver.overColdCapacity, 0U);
    EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
}

TEST(slot_gate, lostServerIsRetriedWithBackoff)
{
    auto driver = warmDriver();
    driver.restartServer(milliseconds {20000});
    driver.run(milliseconds {1000});
    const auto before = driver.started;
    driver.run(milliseconds {18000});
    EXPECT_LE(driver.started - before, 20U);
    EXPECT_GT(driver.refusals[attempt_failure::server_lost], 0U);
}

TEST(slot_gate, oneLateAnswerAmongManyChangesNothing)
{
    auto driver = warmDriver();
    for (const auto end : {request_end::good, request_end::timed_out}) {
        driver.running.begin()->second = {driver.now + milliseconds {400}, end};
        driver.run(milliseconds {410});
        EXPECT_EQ(driver.gate.allowed(driver.now), 3U);
    }
}

TEST(slot_gate, handedOverServerKeepsItsLimit)
{
    gate_driver driver(threeSlots());
    driver.inject(gate_opened {3});
    driver.run(milliseconds {50});
    EXPECT_EQ(driver.maxRunning, 3U);
}

TEST(slot_gate, closedGateRefusesQueuedRequests)
{
    auto driver = warmDriver();
    EXPECT_GT(driver.gate.queued(), 0U);
    driver.inject(gate_closed {});
    EXPECT_EQ(driver.gate.queued(), 0U);
    driver.arrive();
    EXPECT_GT(driver.refusals[attempt_failure::not_owner], 1U);
}

TEST(slot_queue, urgentRequestsGoFirstWithoutStarvingOthers)
{
    slot_queue queue(16);
    for (std::uint64_t i = 0; i < 16; ++i) {
        queue.add({i, i % 2 == 0 ? urgency::background : urgency::interactive, {}});
    }
    std::size_t background = 0;
    for (int i = 0; i < 8; ++i) {
        background += queue.takeNext()->rank == urgency::background;
    }
    EXPECT_EQ(background, 2U);
}

TEST(slot_queue, urgentRequestsDisplaceOthersDownToTheirShare)
{
    slot_queue queue(16);
    for (std::uint64_t i = 0; i < 16; ++i) {
        EXPECT_FALSE(queue.add({i, urgency::background, {}}));
    }
    std::size_t displaced = 0;
    for (std::uint64_t i = 100; i < 120; ++i) {
        const auto refused = queue.add({i, urgency::interactive, {}});
        displaced += refused && refused->rank == urgency::background;
    }
    EXPECT_EQ(displaced, 14U);
}

TEST(send_check, returnsTheReasonNotToSend)
{
    const monotonic_time now {std::chrono::hours {1}};
    const send_conditions good {now + milliseconds {1}, now + milliseconds {1}, 3, 3, true, false, false, false};
    EXPECT_EQ(maySend(good, now), std::nullopt);
    const auto with = [&](auto change) {
        auto changed = good;
        change(changed);
        return maySend(changed, now);
    };
    EXPECT_EQ(with([&](auto &c) { c.leaseUntil = now; }), attempt_failure::not_owner);
    EXPECT_EQ(with([&](auto &c) { c.listed = false; }), attempt_failure::not_owner);
    EXPECT_EQ(with([&](auto &c) { c.deadline = now; }), attempt_failure::too_late);
    EXPECT_EQ(with([&](auto &c) { c.running = 4; }), attempt_failure::queue_full);
    EXPECT_EQ(with([&](auto &c) { c.domainOut = true; }), attempt_failure::domain_out);
    EXPECT_EQ(with([&](auto &c) { c.draining = true; }), attempt_failure::draining);
    EXPECT_EQ(with([&](auto &c) { c.quarantined = true; }), attempt_failure::quarantined);
}
