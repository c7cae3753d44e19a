#include "plain_fleet.h"

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

// The platform's bound on the time until an evacuation or a configuration is in force.
constexpr seconds changeBound {5};
constexpr milliseconds away {300};
// Of the configuration, servers, evacuations and suspects.
constexpr std::size_t watchesPerSource = 4;
// Servers and operators have written again what was lost by then.
constexpr milliseconds rewriteTime {2000};
// Longer than daemons keep what a restored store lacks.
constexpr milliseconds afterGrace {4000};

/// A store that comes back from a copy, under daemons of three failure domains with three servers each.
class restored_store_promises : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
    }

    /// The status of a request to a daemon.
    int ask(std::size_t daemon, const std::string &path)
    {
        m_fleet.drainOutput();
        http_call call {.address = m_fleet.clientsAddress(daemon), .path = path, .timeout = seconds {3}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q" + std::to_string(m_sent++)}, {"Deadline-Ms", "1400"}};
        return statusOf(m_fleet.control().call(std::move(call)));
    }

    void askAll()
    {
        for (std::size_t i = 0; i < 4 * m_fleet.daemonCount(); ++i) {
            EXPECT_EQ(ask(i % m_fleet.daemonCount(), "/read/x"), 200);
        }
    }

    bool allAnswer(const std::string &path, int status)
    {
        bool all = true;
        for (std::size_t i = 0; i < m_fleet.daemonCount(); ++i) {
            all = ask(i, path) == status && all;
        }
        return all;
    }

    /// Requests that servers have got: one, or all of a failure domain.
    int arrivals(std::size_t server)
    {
        return m_fleet.servers()[server].process->arrivals();
    }

    int arrivals(const std::string &domain)
    {
        int sum = 0;
        for (const auto &each : m_fleet.servers()) {
            sum += each.domain.value == domain ? each.process->arrivals() : 0;
        }
        return sum;
    }

    template<class Which> bool waitUntilUnused(const Which &which)
    {
        return m_fleet.control().waitUntil(
            [&] {
                const auto before = arrivals(which);
                askAll();
                return arrivals(which) == before;
            },
            changeBound);
    }

    void askFor(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            askAll();
        }
    }

    /// How often daemons have logged this.
    int logged(const std::string &text)
    {
        m_fleet.drainOutput();
        int count = 0;
        for (auto at = m_fleet.logs().find(text); at != std::string::npos; at = m_fleet.logs().find(text, at + text.size())) {
            count += 1;
        }
        return count;
    }

    void evacuate(const std::string &domain)
    {
        m_fleet.putText("evacuations/" + domain, R"({"zone":")" + domain + R"("})");
    }

    plain_fleet m_fleet {{.daemons = 6, .logbookServers = 9}};
    std::size_t m_sent = 0;
};

} // namespace

TEST_F(restored_store_promises, theSameRevisionWithAnotherContentIsFollowed)
{
    auto copied = m_fleet.storeRevision();
    evacuate("medina");
    ASSERT_TRUE(waitUntilUnused("medina"));
    auto before = arrivals("medina");
    m_fleet.restoreStore(copied, away);
    evacuate("port");
    askFor(rewriteTime);
    evacuate("medina");
    EXPECT_TRUE(waitUntilUnused("port")) << "the evacuation has the revision of the one that was lost";
    askFor(afterGrace);
    EXPECT_EQ(arrivals("medina"), before) << "the evacuation was lost and written again";

    copied = m_fleet.storeRevision();
    m_fleet.drainServer(2);
    ASSERT_TRUE(waitUntilUnused(std::size_t {2}));
    before = arrivals(2);
    m_fleet.restoreStore(copied, away);
    m_fleet.drainServer(5);
    EXPECT_TRUE(waitUntilUnused(std::size_t {5}));
    askFor(afterGrace);
    EXPECT_EQ(arrivals(2), before) << "the store has lost that it is draining";
}

TEST_F(restored_store_promises, aVersionThatWasLostStaysInForceAlsoInADaemonThatStarts)
{
    constexpr std::size_t follower = 3;
    const auto served = [this] {
        return allAnswer("/new/x", 200);
    };
    const auto copied = m_fleet.storeRevision();
    m_fleet.writeConfiguration(5, "/new/");
    ASSERT_TRUE(m_fleet.control().waitUntil(served, changeBound));
    m_fleet.restoreStore(copied, away);
    m_fleet.killDaemon(follower);
    ASSERT_TRUE(m_fleet.startDaemon(follower));
    ASSERT_TRUE(m_fleet.waitUntilReady());
    const auto end = std::chrono::steady_clock::now() + afterGrace;
    while (std::chrono::steady_clock::now() < end) {
        ASSERT_TRUE(served()) << "the store holds version 1";
    }
    m_fleet.writeConfiguration(5, "/new/");
    m_fleet.writeConfiguration(6, "/newer/");
    EXPECT_TRUE(m_fleet.control().waitUntil([this] { return allAnswer("/newer/x", 200) && allAnswer("/new/x", 404); }, changeBound));
}

TEST_F(restored_store_promises, whatTwoCopiesLackStaysUntilItIsWrittenAgain)
{
    const auto copied = m_fleet.storeRevision();
    evacuate("medina");
    ASSERT_TRUE(waitUntilUnused("medina"));
    const auto before = arrivals("medina");
    m_fleet.restoreStore(copied, away);
    askFor(rewriteTime);
    m_fleet.restoreStore(copied, away);
    askFor(rewriteTime);
    evacuate("medina");
    askFor(afterGrace);
    EXPECT_EQ(arrivals("medina"), before);
    m_fleet.removeObject("evacuations/medina");
    EXPECT_TRUE(m_fleet.control().waitUntil([&] { return (askAll(), arrivals("medina") > before); }));
}

TEST_F(restored_store_promises, daemonsThatWereCutOffMeanwhileFollowTheNewEra)
{
    const auto copied = m_fleet.storeRevision();
    evacuate("medina");
    ASSERT_TRUE(waitUntilUnused("medina"));
    const auto before = arrivals("medina");
    m_fleet.cutDomainsFromStore({"medina"});
    m_fleet.restoreStore(copied, away);
    evacuate("port");
    evacuate("medina");
    askFor(rewriteTime);
    m_fleet.cutDomainsFromStore({});
    EXPECT_TRUE(waitUntilUnused("port")) << "the evacuation has the revision of the one that was lost";
    askFor(afterGrace);
    EXPECT_EQ(arrivals("medina"), before);
}

// A daemon that started before the lost key was written again may have written its own.
TEST_F(restored_store_promises, allDaemonsTakeThePeerKeyOfTheStoreAndKeepTheirLinks)
{
    constexpr std::size_t follower = 3;
    const auto lostSource = "Lost the source daemon.";
    const auto daemons = static_cast<int>(m_fleet.daemonCount());
    const auto oneFollowsTheStore = [this] {
        return m_fleet.waitingWatches() == plain_fleet::domainCount * watchesPerSource;
    };
    ASSERT_TRUE(m_fleet.control().waitUntil(oneFollowsTheStore));
    const auto lost = logged(lostSource);
    m_fleet.putText("daisystile-daemons/0-peer-key", R"({"key":"another key of the daemons"})");
    EXPECT_TRUE(m_fleet.control().waitUntil([&] { return (askAll(), logged("The store holds another peer key") == daemons); }));
    m_fleet.killDaemon(follower);
    ASSERT_TRUE(m_fleet.startDaemon(follower));
    ASSERT_TRUE(m_fleet.waitUntilReady());
    askFor(rewriteTime);
    EXPECT_TRUE(m_fleet.control().waitUntil(oneFollowsTheStore)) << "the daemon that started follows another one";
    EXPECT_EQ(logged(lostSource), lost) << "no link was closed or refused";
}
