#include "plain_fleet.h"

#include <gtest/gtest.h>

#include <iostream>

using namespace daisystile;

namespace {

constexpr int servers = 3;
constexpr int orderSeconds = 16;
constexpr milliseconds requestInterval {6};
constexpr double exposureShare = 0.1;
constexpr int exposureSlack = 50;

/// Requests at a steady rate to all daemons in turn, while servers of another version stand beside the old ones.
class rollout_promises : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
        for (std::size_t i = 0; i < servers; ++i) {
            m_new.push_back(&m_fleet.addServer("logbook", i, "v2"));
        }
    }

    void sendOne()
    {
        const auto number = std::to_string(m_sent++);
        http_call call {
            .address = m_fleet.clientsAddress(static_cast<std::size_t>(m_sent) % m_fleet.daemonCount()), .path = "/read/x" + number, .timeout = seconds {3}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "r" + number}, {"Deadline-Ms", "1400"}};
        m_fleet.control().start(call, [this](const http_result &result) {
            m_ended += 1;
            m_lost += statusOf(result) == 200 ? 0 : 1;
        });
        m_fleet.drainOutput();
    }

    /// Sends until the condition holds.
    bool sendUntil(const std::function<bool()> &holds, milliseconds atMost)
    {
        const auto end = std::chrono::steady_clock::now() + atMost;
        while (std::chrono::steady_clock::now() < end) {
            if (holds()) {
                return true;
            }
            sendOne();
            m_fleet.control().waitUntil([] { return false; }, requestInterval);
        }
        return holds();
    }

    void order()
    {
        m_sentBefore = m_sent;
        m_newBefore = atNew();
        m_fleet.putText("rollouts/logbook", nlohmann::json {{"service", "logbook"}, {"target_version", "v2"}, {"duration_s", orderSeconds}}.dump());
    }

    std::string state()
    {
        const auto status = nlohmann::json::parse(m_fleet.textOf("rollouts/logbook/status"), nullptr, false);
        return status.is_object() && status.value("target_version", "") == "v2" ? status.value("state", "") : "";
    }

    int atNew()
    {
        int all = 0;
        for (const auto *each : m_new) {
            all += each->arrivals();
        }
        return all;
    }

    /// Daemons whose metrics say that they send to the target of the order.
    std::size_t daemonsThatSend()
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_fleet.daemonCount(); ++i) {
            const auto result = m_fleet.control().call({.address = m_fleet.readinessAddress(i), .path = "/metrics"});
            const auto *reply = std::get_if<http_reply>(&result);
            const bool stopped = reply != nullptr && reply->body.find("daisystile_rollout_share{service=\"logbook\"} 0\n") != std::string::npos;
            count += stopped ? 0 : 1;
        }
        return count;
    }

    void expectRolledBack()
    {
        order();
        ASSERT_TRUE(sendUntil([this] { return state() == "rolled_back"; }, seconds {orderSeconds}));
        // Each daemon has heard of the verdict when its share is 0.
        ASSERT_TRUE(sendUntil([this] { return daemonsThatSend() == 0; }, seconds {5}));
        const int reached = atNew();
        const int sent = m_sent - m_sentBefore;
        const int newly = reached - m_newBefore;
        std::cout << "at the bad version " << newly << " of " << sent << std::endl;
        EXPECT_LE(newly, exposureShare * sent + exposureSlack);
        const int until = m_sent + 400;
        sendUntil([&] { return m_sent >= until; }, seconds {20});
        EXPECT_EQ(atNew(), reached) << "sent to a version after it was rolled back";
        EXPECT_EQ(state(), "rolled_back");
    }

    plain_fleet m_fleet {{.daemons = 6, .logbookServers = servers, .exposureShare = exposureShare}};
    std::vector<plain_backend *> m_new;
    int m_sent = 0;
    int m_sentBefore = 0;
    int m_newBefore = 0;
    int m_ended = 0;
    int m_lost = 0;
};

} // namespace

TEST_F(rollout_promises, aGoodVersionTakesAllRequestsAndNoneIsLostWhenTheOldServersStop)
{
    sendUntil([this] { return m_sent >= 300; }, seconds {20});
    EXPECT_EQ(atNew(), 0) << "sent to a version that nobody has ordered";
    order();
    // A daemon starts anew meanwhile.
    m_fleet.killDaemon(5);
    ASSERT_TRUE(m_fleet.startDaemon(5));
    ASSERT_TRUE(m_fleet.control().waitUntil([this] { return m_fleet.daemonReady(5); }));
    const int lostBefore = m_lost;
    ASSERT_TRUE(sendUntil([this] { return state() == "succeeded"; }, seconds {orderSeconds}));
    for (std::size_t i = 0; i < servers; ++i) {
        m_fleet.servers()[i].process->crash();
        m_fleet.removeObject("servers/" + m_fleet.servers()[i].process->id());
    }
    const int until = m_sent + 500;
    sendUntil([&] { return m_sent >= until; }, seconds {20});
    m_fleet.control().waitUntil([this] { return m_ended == m_sent; });
    EXPECT_EQ(m_lost, lostBefore);
    EXPECT_GT(atNew(), 500);
}

TEST_F(rollout_promises, aVersionThatFailsIsRolledBackAndGetsNothingMore)
{
    for (auto *each : m_new) {
        each->setResponseMode(backend_response_mode::failing);
    }
    expectRolledBack();
    // Withdrawn and given again at once, it is another order with a verdict of its own; while it is withdrawn nothing is sent. After
    // the change of another order daemons wait for a moment, so they see both changes together.
    m_fleet.putText("rollouts/none", R"({"service":"none","target_version":"v9","duration_s":600})");
    m_fleet.removeObject("rollouts/logbook");
    const int reached = atNew();
    expectRolledBack();
    EXPECT_GT(atNew(), reached);
    m_fleet.removeObject("rollouts/logbook");
    const int afterwards = atNew();
    const int until = m_sent + 300;
    sendUntil([&] { return m_sent >= until; }, seconds {20});
    EXPECT_EQ(atNew(), afterwards);
}

TEST_F(rollout_promises, aVersionThatTurnsSlowIsRolledBackAndGetsNothingMore)
{
    order();
    sendUntil([this] { return atNew() > 30; }, seconds {orderSeconds});
    for (auto *each : m_new) {
        each->setDelay(milliseconds {60});
    }
    expectRolledBack();
}
