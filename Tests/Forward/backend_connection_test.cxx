#include <Forward/forward.h>

#include <gtest/gtest.h>
#include <odd_status_lines.h>

using namespace daisystile;

/// A server that records what it receives, and connections to it.
class backend_connection_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_listener = tcp_listener::listen(m_loop, {"127.0.0.1", 0}, [this](int handle) { accepted(handle); }).value();
    }

    void accepted(int handle)
    {
        m_accepted += 1;
        m_stream = std::make_unique<tcp_stream>(m_loop,
            handle,
            tcp_stream::callbacks {.opened = {},
                .received = [this] { received(); },
                .ended =
                    [](stream_end) {
                    }});
    }

    void received()
    {
        m_received.append(m_stream->input().view());
        m_stream->input().clear();
        if (!m_answer.empty()) {
            m_stream->write(m_answer);
        }
    }

    void runFor(milliseconds time)
    {
        m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    std::unique_ptr<backend_connection> connect()
    {
        return std::make_unique<backend_connection>(m_loop,
            m_listener->address(),
            seconds {60},
            m_budget,
            backend_connection::callbacks {.done = [this](backend_connection &, exchange_result result) { m_results.push_back(std::move(result)); },
                .closedWhileIdle =
                    [this](backend_connection &) {
                        m_lapses += 1;
                    }});
    }

    reactor m_loop;
    memory_account m_memory;
    buffer_budget m_budget {m_memory, 1024, 10000};
    std::unique_ptr<tcp_listener> m_listener;
    std::unique_ptr<tcp_stream> m_stream;
    std::string m_received;
    std::string m_answer;
    int m_accepted = 0;
    int m_lapses = 0;
    std::vector<exchange_result> m_results;
};

// A connection that opened just after its attempt was abandoned and retried elsewhere still sent the request, so that it
// ran twice (bsm-nuit trouble-3, TWICE).
TEST_F(backend_connection_test, sendsNothingAfterClose)
{
    const auto connection = connect();
    connection->begin({"7"}, "request", false);
    connection->close();
    runFor(milliseconds {50});
    EXPECT_EQ(m_received, "");
    EXPECT_TRUE(m_results.empty());
    EXPECT_FALSE(connection->usable(m_loop.now()));
}

TEST_F(backend_connection_test, sendsOnceOpenAndIgnoresForeignAnswers)
{
    const std::string foreign = "HTTP/1.1 200 OK\r\nServer-Stamp: a\r\nRequest-Id: 6\r\nContent-Length: 1\r\n\r\nx";
    const std::string own = "HTTP/1.1 200 OK\r\nServer-Stamp: b\r\nRequest-Id: 7\r\nContent-Length: 1\r\n\r\ny";
    m_answer = foreign + own;
    const auto connection = connect();
    connection->begin({"7"}, "request", false);
    runFor(milliseconds {50});
    EXPECT_EQ(m_received, "request");
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_EQ(std::get<exchange_answer>(m_results[0]).answer.signature.value, "b");
    EXPECT_FALSE(connection->usable(m_loop.now())) << "after a foreign answer";
}

TEST_F(backend_connection_test, reportsWhetherARequestMayHaveRun)
{
    const auto connection = connect();
    connection->begin({"7"}, "request", false);
    runFor(milliseconds {50});
    m_stream.reset();
    runFor(milliseconds {50});
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_TRUE(std::get<exchange_broken>(m_results[0]).mayHaveRun);
    const auto gone = m_listener->address();
    m_listener.reset();
    backend_connection refused(m_loop,
        gone,
        seconds {60},
        m_budget,
        {.done = [this](backend_connection &, exchange_result result) { m_results.push_back(std::move(result)); },
            .closedWhileIdle =
                [](backend_connection &) {
                }});
    refused.begin({"8"}, "request", false);
    runFor(milliseconds {50});
    ASSERT_EQ(m_results.size(), 2U);
    EXPECT_FALSE(std::get<exchange_broken>(m_results[1]).mayHaveRun);
}

TEST_F(backend_connection_test, unsolicitedBytesEndTheConnection)
{
    m_answer = "HTTP/1.1 200 OK\r\nServer-Stamp: b\r\nRequest-Id: 7\r\nKeep-Alive: timeout=5\r\nContent-Length: 1\r\n\r\ny";
    const auto connection = connect();
    connection->begin({"7"}, "request", false);
    runFor(milliseconds {50});
    EXPECT_TRUE(connection->usable(m_loop.now()));
    m_stream->write(m_answer);
    runFor(milliseconds {50});
    EXPECT_FALSE(connection->usable(m_loop.now()));
    EXPECT_EQ(m_lapses, 1);
    EXPECT_EQ(m_results.size(), 1U);
}

// An answer that grows without end must end its exchange and free its memory.
TEST_F(backend_connection_test, breaksOffAnAnswerBeyondTheBudget)
{
    m_answer = "HTTP/1.1 200 OK\r\nServer-Stamp: b\r\nRequest-Id: 7\r\n\r\n" + std::string(20000, 'x');
    const auto connection = connect();
    connection->begin({"7"}, "request", false);
    runFor(milliseconds {50});
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_EQ(std::get<exchange_broken>(m_results[0]).reason, "answer too large");
    EXPECT_FALSE(connection->usable(m_loop.now()));
    connection->close();
    EXPECT_LE(m_budget.usedBytes(), 10000U);
}

TEST(buffer_budget, guaranteesEachAnswerAMinimumAndLimitsTheSum)
{
    memory_account memory;
    buffer_budget budget(memory, 100, 1000);
    {
        buffer_share endless(budget);
        EXPECT_TRUE(endless.resize(1100));
        EXPECT_FALSE(endless.resize(1101));
        buffer_share small(budget);
        EXPECT_TRUE(small.resize(100));
        EXPECT_FALSE(small.resize(101));
        EXPECT_TRUE(endless.resize(600));
        EXPECT_TRUE(small.resize(600));
    }
    EXPECT_EQ(budget.usedBytes(), 0U);
    EXPECT_EQ(memory.usedBytes(), 0U);
}

TEST_F(backend_connection_test, anAnswerWithAnOddStatusIsNoneAndEndsTheConnection)
{
    for (const auto line : oddStatusLines) {
        m_results.clear();
        m_answer = "HTTP/1.1 " + std::string(line) + "\r\nServer-Stamp: b\r\nRequest-Id: 7\r\nKeep-Alive: timeout=5\r\nContent-Length: 1\r\n\r\ny";
        const auto connection = connect();
        connection->begin({"7"}, "request", false);
        runFor(milliseconds {30});
        ASSERT_EQ(m_results.size(), 1U) << line;
        ASSERT_TRUE(std::holds_alternative<exchange_broken>(m_results[0])) << line;
        EXPECT_TRUE(std::get<exchange_broken>(m_results[0]).mayHaveRun) << line;
        EXPECT_FALSE(connection->usable(m_loop.now())) << line;
    }
}
