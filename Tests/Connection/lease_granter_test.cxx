#include "Connection/connection.h"

#include <gtest/gtest.h>

using namespace daisystile;

static const ownership_settings settings;
static const backend_server_id server {"s1"};

namespace {

/// A single ownership core, daemon "g", that gets its events from the test.
class lease_granter : public testing::Test
{
protected:
    lease_granter()
    {
        now += settings.joinWait;
    }

    void choose(const std::string &owner, const std::string &runnerUp)
    {
        remember(core.decide(choices_changed {{{server, {{owner}}, {{runnerUp}}}}}, now));
        now += settings.settleTime;
    }

    bool grants(const std::string &to, std::uint64_t incarnationNumber, std::uint64_t number = 1)
    {
        for (const auto &action : core.decide(lease_requested {{to}, {incarnationNumber}, {number, {}, {server}}}, now)) {
            const auto *sending = std::get_if<send_control>(&action);
            const auto *answer = sending ? std::get_if<lease_answer>(&sending->message) : nullptr;
            if (answer) {
                return !answer->granted.empty();
            }
        }
        return false;
    }

    void release(const std::string &from, std::uint64_t number)
    {
        core.decide(lease_released {{from}, {1}, {number, {{server, 2}}}}, now);
    }

    void answer(std::uint64_t number)
    {
        remember(core.decide(lease_answered {{"r"}, {number, static_cast<std::uint32_t>(settings.lease.count()), {{server, 0}}}}, now));
    }

    bool serves() const
    {
        return core.leaseUntil(server) > now;
    }

    void remember(const std::vector<ownership_action> &actions)
    {
        for (const auto &action : actions) {
            const auto *sending = std::get_if<send_control>(&action);
            const auto *request = sending ? std::get_if<lease_request>(&sending->message) : nullptr;
            lastRequest = request ? request->number : lastRequest;
        }
    }

    monotonic_time now {std::chrono::hours {1}};
    ownership core {settings, {"g"}, now};
    std::uint64_t lastRequest = 0;
};

} // namespace

TEST_F(lease_granter, waitsForTheLeaseOfAnotherLifeOrDaemonToExpire)
{
    choose("a", "g");
    EXPECT_TRUE(grants("a", 1));
    EXPECT_FALSE(grants("a", 2));
    choose("b", "g");
    EXPECT_FALSE(grants("b", 1));
    now += settings.lease;
    EXPECT_TRUE(grants("b", 1));
}

TEST_F(lease_granter, ignoresAReleaseOlderThanTheGrant)
{
    choose("a", "g");
    EXPECT_TRUE(grants("a", 1, 7));
    release("a", 6);
    choose("b", "g");
    EXPECT_FALSE(grants("b", 1));
    release("a", 8);
    EXPECT_TRUE(grants("b", 1));
}

TEST_F(lease_granter, grantsOnlyToTheOwnerItKnowsAndOnlyAsRunnerUp)
{
    choose("a", "g");
    EXPECT_FALSE(grants("b", 1));
    choose("a", "b");
    EXPECT_FALSE(grants("a", 1));
}

TEST_F(lease_granter, grantsNoLeaseWhileItsOwnRequestsRun)
{
    choose("g", "r");
    answer(lastRequest);
    EXPECT_TRUE(serves());
    choose("a", "g");
    EXPECT_FALSE(serves());
    EXPECT_FALSE(grants("a", 1));
    core.decide(server_idle {server, 2}, now);
    EXPECT_TRUE(grants("a", 1));
}

TEST_F(lease_granter, servesOnlyAfterItsGrantedLeaseExpired)
{
    choose("a", "g");
    EXPECT_TRUE(grants("a", 1));
    choose("g", "r");
    answer(lastRequest);
    EXPECT_FALSE(serves());
    now += settings.lease;
    remember(core.decide(ownership_tick {}, now));
    answer(lastRequest);
    EXPECT_TRUE(serves());
}

TEST_F(lease_granter, ignoresAnswersFromBeforeItStopped)
{
    choose("g", "r");
    answer(lastRequest);
    now += settings.renewEvery;
    remember(core.decide(ownership_tick {}, now));
    const auto late = lastRequest;
    choose("a", "r");
    core.decide(server_idle {server, 2}, now);
    choose("g", "r");
    answer(late);
    EXPECT_FALSE(serves());
    answer(lastRequest);
    EXPECT_TRUE(serves());
}
