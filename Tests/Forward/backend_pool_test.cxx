#include <Forward/forward.h>

#include <gtest/gtest.h>
#include <StandIns/plain_backend.h>

using namespace daisystile;

/// A pool with two servers of one service, to which it holds real connections.
class backend_pool_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_settings.id = {"d1"};
        m_settings.domain = {"port"};
        m_pool = std::make_unique<backend_pool>(m_loop,
            m_settings,
            m_memory,
            backend_pool::callbacks {.done = [this](attempt_result result) { ended(std::move(result)); },
                .checkingEnd = [this](attempt_id) { m_checks += 1; },
                .noticed = [this](const server_notice &) { m_notices += 1; },
                .limitChanged =
                    [this](limit_change change) {
                        m_limitChanges.push_back(change);
                    }});
        list({entryOf(m_first), entryOf(m_second)});
    }

    server_entry entryOf(const plain_backend &server, std::uint64_t born = 1) const
    {
        return {.id = {server.id()}, .service = m_service, .address = server.address(), .domain = {"port"}, .slots = 3, .born = born};
    }

    void list(std::vector<server_entry> entries)
    {
        auto catalog = std::make_shared<server_catalog>();
        catalog->byService[m_service] = std::move(entries);
        auto view = std::make_shared<routing_snapshot>();
        view->servers = std::move(catalog);
        m_coordinators = std::make_unique<coordinator_table>(m_settings);
        m_coordinators->update(*view);
        m_pool->update(view, *m_coordinators);
    }

    void ended(attempt_result result)
    {
        m_results.push_back(std::move(result));
        m_loop.stop();
    }

    // Sends one request to any server but the second, and waits for its end.
    void sendToFirst()
    {
        auto *server = m_pool->choose(m_service, {{m_second.id()}}, microseconds {1000});
        ASSERT_NE(server, nullptr);
        const std::string id = std::to_string(++m_sent);
        m_pool->send(*server, {id}, "GET / HTTP/1.1\r\nRequest-Id: " + id + "\r\n\r\n", false, milliseconds {100});
        runUntil([this, before = m_results.size()] { return m_results.size() > before; });
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const auto end = m_loop.now() + seconds {5};
        while (!condition() && m_loop.now() < end) {
            m_loop.after(milliseconds {5}, [this] { m_loop.stop(); });
            m_loop.run();
        }
    }

    bool firstTakesRequests()
    {
        return m_pool->choose(m_service, {{m_second.id()}}, microseconds {1000}) != nullptr;
    }

    reactor m_loop;
    entry_settings m_settings;
    service_name m_service {"shard"};
    plain_backend m_first {"first", "records"};
    plain_backend m_second {"second", "records"};
    std::unique_ptr<coordinator_table> m_coordinators;
    memory_account m_memory;
    std::unique_ptr<backend_pool> m_pool;
    std::vector<attempt_result> m_results;
    int m_notices = 0;
    std::vector<limit_change> m_limitChanges;
    int m_checks = 0;
    int m_sent = 0;
};

// Servers that were free counted as available microseconds after the time of the decision.
TEST_F(backend_pool_test, aFreeServerIsAvailableAtTheTimeThatWasAskedFor)
{
    const auto askedAt = m_loop.now() - milliseconds {1};
    EXPECT_LE(m_pool->availableFrom(m_service, {}, askedAt), askedAt);
}

TEST_F(backend_pool_test, sendsNothingMoreToAServerThatIsLeaving)
{
    sendToFirst();
    EXPECT_TRUE(firstTakesRequests());
    m_first.setExtraHeaders("Server-Leaving: 1\r\n");
    sendToFirst();
    EXPECT_FALSE(firstTakesRequests());
    EXPECT_EQ(m_notices, 1);
    EXPECT_EQ(m_pool->availableFrom(m_service, {{m_second.id()}}, m_loop.now()), monotonic_time::max());
    EXPECT_EQ(m_pool->counts().leaving, 1U);
}

// A store outage can remove the entry of a server that is still running, and bring it back.
TEST_F(backend_pool_test, remembersThatAServerIsLeavingWhileItsEntryIsGone)
{
    m_first.setExtraHeaders("Server-Leaving: 1\r\n");
    sendToFirst();
    list({entryOf(m_second)});
    const auto swept = m_loop.now() + milliseconds {400};
    runUntil([&] { return m_loop.now() >= swept; });
    list({entryOf(m_first), entryOf(m_second)});
    EXPECT_FALSE(firstTakesRequests());
    list({entryOf(m_first, 2), entryOf(m_second)});
    EXPECT_TRUE(firstTakesRequests()) << "a later process with the same id";
}

TEST_F(backend_pool_test, learnsOfLeavingFromFailuresAndUnfinishedAnswers)
{
    m_first.setExtraHeaders("Server-Leaving: 1\r\n");
    for (const auto mode : {backend_response_mode::failing, backend_response_mode::not_executed, backend_response_mode::truncate}) {
        list({entryOf(m_first, static_cast<std::uint64_t>(++m_sent)), entryOf(m_second)});
        m_first.setResponseMode(mode);
        sendToFirst();
        EXPECT_FALSE(firstTakesRequests()) << static_cast<int>(mode);
    }
}

TEST_F(backend_pool_test, ignoresStatementsOfAServerThatHasTakenOverTheAddress)
{
    m_first.setResponseMode(backend_response_mode::other_server);
    m_first.setExtraHeaders("Server-Leaving: 1\r\n");
    sendToFirst();
    EXPECT_EQ(m_notices, 0);
}

TEST_F(backend_pool_test, sendsNothingUntilARequestedPauseIsOver)
{
    m_first.setResponseMode(backend_response_mode::not_executed);
    m_first.setExtraHeaders("Retry-After: 0.3\r\n");
    const auto before = m_loop.now();
    sendToFirst();
    EXPECT_FALSE(firstTakesRequests());
    EXPECT_GE(m_pool->availableFrom(m_service, {{m_second.id()}}, m_loop.now()), before + milliseconds {300});
    const auto askedAt = m_loop.now();
    EXPECT_LE(m_pool->availableFrom(m_service, {}, askedAt), askedAt) << "the other server has not asked for a pause";
    EXPECT_EQ(m_pool->counts().paused, 1U);
    runUntil([this] { return firstTakesRequests(); });
    EXPECT_TRUE(firstTakesRequests());
    EXPECT_GE(m_loop.now(), before + milliseconds {300});
}

// The statement counts as soon as the head is there; the body may never end.
TEST_F(backend_pool_test, learnsOfLeavingFromAnAnswerWithoutEnd)
{
    m_first.setResponseMode(backend_response_mode::endless_body);
    m_first.setExtraHeaders("Server-Leaving: 1\r\n");
    sendToFirst();
    EXPECT_FALSE(firstTakesRequests());
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<exchange_broken>(m_results[0].exchange));
}

TEST_F(backend_pool_test, serverThatEndsUnderARequestIsToldFromOneThatClosesTheConnection)
{
    m_first.setResponseMode(backend_response_mode::close_without_response);
    sendToFirst();
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_FALSE(std::get<exchange_broken>(m_results[0].exchange).serverEnded);
    m_first.setFatalPath("/");
    sendToFirst();
    ASSERT_EQ(m_results.size(), 2U);
    EXPECT_TRUE(std::get<exchange_broken>(m_results[1].exchange).serverEnded);
    EXPECT_EQ(m_checks, 2);
}

TEST_F(backend_pool_test, keepsToALimitForAsLongAsTheServerStatesIt)
{
    m_first.setExtraHeaders("Server-Limit: 4\r\n");
    sendToFirst();
    EXPECT_FALSE(firstTakesRequests());
    EXPECT_EQ(m_pool->counts().limited, 1U);
    const auto now = m_loop.now();
    EXPECT_GT(m_pool->availableFrom(m_service, {{m_second.id()}}, m_loop.now()), now);
    EXPECT_LT(m_pool->availableFrom(m_service, {{m_second.id()}}, m_loop.now()), now + milliseconds {500});
    const auto askedAt = m_loop.now();
    EXPECT_LE(m_pool->availableFrom(m_service, {}, askedAt), askedAt) << "the other server limits nothing";
    runUntil([this] { return firstTakesRequests(); });
    m_first.setExtraHeaders("");
    sendToFirst();
    EXPECT_TRUE(firstTakesRequests());
    EXPECT_EQ(m_limitChanges, (std::vector {limit_change::began, limit_change::ended}));
}

TEST_F(backend_pool_test, refusalWithoutALimitDoesNotEndIt)
{
    m_first.setExtraHeaders("Server-Limit: 20\r\n");
    sendToFirst();
    runUntil([this] { return firstTakesRequests(); });
    m_first.setExtraHeaders("");
    m_first.setResponseMode(backend_response_mode::not_executed);
    sendToFirst();
    EXPECT_EQ(m_pool->counts().limited, 1U);
}

TEST_F(backend_pool_test, newProcessOfALimitedServerBeginsWithoutALimit)
{
    m_first.setExtraHeaders("Server-Limit: 0.1\r\n");
    sendToFirst();
    EXPECT_FALSE(firstTakesRequests());
    list({entryOf(m_first, 2), entryOf(m_second)});
    EXPECT_TRUE(firstTakesRequests());
}

TEST_F(backend_pool_test, limitThatIsNoNumberIsIgnored)
{
    for (const auto *value : {"many", "-1", "nan", "inf", "", "1 2", "1e999"}) {
        m_first.setExtraHeaders(std::string("Server-Limit: ") + value + "\r\n");
        sendToFirst();
        EXPECT_TRUE(firstTakesRequests()) << value;
    }
    EXPECT_EQ(m_limitChanges.size(), 7U);
}
