#include <Forward/version_board.h>
#include <Forward/version_gate.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

const service_name logbook {"logbook"};
constexpr int parts = 2000;

/// An order in its second stage, whose target fails all requests.
class version_gate_of_a_failing_target : public testing::Test
{
protected:
    version_gate_of_a_failing_target()
    {
        m_settings.bounds.exposureShare = 0.1;
        m_gate = std::make_unique<version_gate>(m_settings, m_registry);
        m_gate->update(
            std::make_shared<version_rules>(version_rules {{logbook, {{"v1"}, rollout_status {{"v2"}, rollout_verdict::running, rollout_stage::half, "7"}}}}));
    }

    /// Number of first attempts that go to the target.
    int run(monotonic_time now)
    {
        int toTarget = 0;
        for (int i = 0; i < parts; ++i) {
            request_part part {.service = logbook};
            server_entry server;
            server.software = *m_gate->admitted(part, now).first;
            running_attempt attempt {.service = logbook, .sent = now};
            m_gate->sent(attempt, server);
            const bool target = server.software.value == "v2";
            toTarget += target ? 1 : 0;
            exchange_answer answer;
            answer.answer.verdict = target ? answer_verdict::failure : answer_verdict::success;
            m_gate->ended(attempt, answer, now + milliseconds {3});
            part.tried = {{"s"}};
            EXPECT_EQ(m_gate->admitted(part, now).first->value, "v1") << "a retry goes to the target";
        }
        return toTarget;
    }

    metrics m_registry;
    entry_settings m_settings;
    std::unique_ptr<version_gate> m_gate;
};

} // namespace

TEST_F(version_gate_of_a_failing_target, sendsTheShareOfTheStageWhileItHears)
{
    const monotonic_time now {seconds {100}};
    m_gate->setHeardAt(now);
    const int toTarget = run(now);
    EXPECT_GT(toTarget, parts / 5);
    const auto counts = m_gate->report({}, now).orders.at(logbook).routes.at({});
    EXPECT_EQ(counts.target.failures, static_cast<std::uint64_t>(toTarget));
    EXPECT_EQ(counts.base.failures, 0U);
    EXPECT_GT(run(now), parts / 5) << "the fleet decides while this daemon hears of it";
}

TEST_F(version_gate_of_a_failing_target, stopsByItsOwnCountsWhileItHearsOfNothing)
{
    const monotonic_time now {seconds {100}};
    m_gate->setHeardAt(now - seconds {3});
    EXPECT_LT(run(now), parts / 10);
    m_gate->report({}, now);
    EXPECT_EQ(run(now), 0);
}

TEST(version_counts, surviveTheWayThroughTheStore)
{
    daemon_counts counts {{"d1"}, 7, 3, {}};
    auto &order = counts.orders[logbook];
    order = {"12", rollout_stage::all, 2, {}};
    order.routes[{"read"}].target.addSuccess(milliseconds {5});
    order.routes[{"read"}].base.addFailure();
    const auto report = parseReport(reportText({{{logbook, seconds {4}}}, {counts}}));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->daemons.at(0), counts);
    EXPECT_EQ(report->elapsed.at(logbook), seconds {4});
    EXPECT_FALSE(parseReport(R"({"elapsed_ms":{},"daemons":[{"daemon":1}]})"));
    const std::map<service_name, software_version> bases {{logbook, {"v1"}}};
    EXPECT_EQ(parseBaseVersions(baseVersionsText(bases)), bases);
}
