#include "gate_driver.h"

#include <gtest/gtest.h>

using namespace daisystile;

class slot_gate_seeds : public testing::TestWithParam<std::uint64_t>
{
};

static void injectFault(gate_driver &driver)
{
    switch (driver.random(9)) {
    case 0:
        driver.restartServer(milliseconds {driver.random(500)});
        break;
    case 1:
        driver.coldUntil = driver.now + driver.warmUp;
        break;
    case 2:
        driver.hangsUntil = driver.now + milliseconds {driver.random(1000)};
        break;
    case 3:
        driver.draining = !driver.draining;
        driver.inject(health_seen {driver.random(2) == 0 ? health_state::unreachable : health_state::healthy});
        break;
    case 4:
        driver.inject(gate_closed {});
        break;
    case 5:
        driver.inject(gate_opened {static_cast<std::uint16_t>(driver.random(5))});
        break;
    case 6:
        driver.inject(request_withdrawn {driver.nextId - 1 - driver.random(5)});
        break;
    case 7:
        driver.inject(kept_connection_ended {milliseconds {driver.random(4000)}});
        break;
    default:
        driver.inject(reference_seen {microseconds {1000 + driver.random(2000)}});
    }
}

TEST_P(slot_gate_seeds, everyRequestEndsOnceWithinTheSlotLimit)
{
    static constexpr int steps = 100000;
    gate_settings settings;
    settings.slots = 3;
    gate_driver driver(settings, GetParam());
    driver.inject(gate_opened {});
    for (int i = 0; i < steps; ++i) {
        driver.now += microseconds {driver.random(3000)};
        const auto kind = driver.random(1000);
        if (kind < 400) {
            driver.arrive(static_cast<urgency>(driver.random(3)), milliseconds {1 + driver.random(100)});
        } else if (kind < 998) {
            driver.endReady();
            driver.inject(gate_tick {});
        } else {
            injectFault(driver);
        }
        ASSERT_LE(driver.running.size(), settings.slots);
        ASSERT_EQ(driver.gate.running(), driver.running.size());
        ASSERT_EQ(driver.open.size(), driver.gate.queued() + driver.gate.running());
        ASSERT_LE(driver.gate.queued(), settings.queueLimit);
    }
    EXPECT_EQ(driver.ranAfterClose, 0U);
    EXPECT_EQ(driver.closed + driver.open.size(), driver.nextId - 1);
    EXPECT_GT(driver.good, 1000U);
}

INSTANTIATE_TEST_SUITE_P(seeds, slot_gate_seeds, testing::Range<std::uint64_t>(1, 6));
