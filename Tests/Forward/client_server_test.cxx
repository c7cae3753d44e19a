#include <Forward/forward.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <gtest/gtest.h>

#include <array>

using namespace daisystile;

namespace {

const std::string request = "GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nDeadline-Ms: 1000\r\n\r\n";

/// A client with a blocking connection.
class blocking_client
{
public:
    explicit blocking_client(const ip_address &address)
    {
        ACE_SOCK_Connector connector;
        EXPECT_EQ(connector.connect(m_stream, ACE_INET_Addr(address.port, address.host.c_str())), 0);
    }

    /// With a receive buffer of this size.
    blocking_client(const ip_address &address, int receiveBytes)
        : blocking_client(address)
    {
        m_stream.set_option(SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }

    ~blocking_client()
    {
        m_stream.close();
    }

    blocking_client(const blocking_client &) = delete;
    blocking_client &operator=(const blocking_client &) = delete;

    void send(const std::string &bytes)
    {
        EXPECT_EQ(m_stream.send_n(bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
    }

    // Sends as much as the connection takes at once and removes it; false if it was closed.
    bool sendSome(std::string &bytes)
    {
        const ACE_Time_Value noWait = ACE_Time_Value::zero;
        const auto count = m_stream.send(bytes.data(), bytes.size(), &noWait);
        bytes.erase(0, count < 0 ? 0 : static_cast<std::size_t>(count));
        return count >= 0 || errno == ETIME || errno == EWOULDBLOCK;
    }

    // What has been received so far; empty if the connection was reset.
    std::string received()
    {
        const ACE_Time_Value noWait = ACE_Time_Value::zero;
        std::array<char, 4096> bytes {};
        const auto count = m_stream.recv(bytes.data(), bytes.size(), &noWait);
        return count > 0 ? std::string(bytes.data(), static_cast<std::size_t>(count)) : std::string();
    }

    // Whether the server has closed the connection.
    bool closed()
    {
        const ACE_Time_Value noWait = ACE_Time_Value::zero;
        char byte = 0;
        return m_stream.recv(&byte, 1, &noWait) == 0;
    }

private:
    ACE_SOCK_Stream m_stream;
};

/// A server without a configuration, which answers each request with 503.
class client_server_test : public testing::Test
{
protected:
    client_server_test()
        : m_requests(m_loop, settings(), m_registry),
          m_clients(m_loop, m_requests, m_registry, maxConnections)
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(leaf::try_handle_all(
            [this]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(m_clients.listen({"127.0.0.1", 0}));
                return true;
            },
            [] { return false; }));
    }

    static constexpr std::size_t maxConnections = 64;
    static constexpr std::size_t clientMemoryBytes = 200000;
    static constexpr int smallBufferBytes = 4096;

    static entry_settings settings()
    {
        entry_settings settings;
        settings.id = {"d1"};
        settings.clientMemoryBytes = clientMemoryBytes;
        return settings;
    }

    void runFor(milliseconds time)
    {
        m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    reactor m_loop;
    metrics m_registry;
    forwarder m_requests;
    client_server m_clients;
};

} // namespace

// Connections that were established but not accepted when the listener closed were reset, with their requests.
TEST_F(client_server_test, answersRequestsOfConnectionsThatWereNotAcceptedYet)
{
    std::vector<std::unique_ptr<blocking_client>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(std::make_unique<blocking_client>(m_clients.address()));
        clients.back()->send(request);
    }
    m_clients.startDraining();
    m_clients.closeIdle();
    EXPECT_GT(m_clients.busyConnections(), 0U) << "the process must not end yet";
    runFor(milliseconds {100});
    for (const auto &client : clients) {
        EXPECT_TRUE(client->received().starts_with("HTTP/1.1 503")) << "no answer";
    }
}

TEST_F(client_server_test, waitsForTheFirstRequestOfANewConnection)
{
    blocking_client client(m_clients.address());
    runFor(milliseconds {20});
    m_clients.closeIdle();
    EXPECT_EQ(m_clients.busyConnections(), 1U);
    client.send(request);
    runFor(milliseconds {50});
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 503"));
}

// A request that had arrived on an idle connection, but was not read yet, was lost when the connection closed.
TEST_F(client_server_test, answersARequestThatHasArrivedOnAnIdleConnection)
{
    blocking_client client(m_clients.address());
    client.send(request);
    runFor(milliseconds {50});
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 503"));
    client.send(request);
    m_clients.startDraining();
    m_clients.closeIdle();
    runFor(milliseconds {50});
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 503"));
}

// Idle connections kept new callers out until the descriptors of the process were used up.
TEST_F(client_server_test, closesTheLongestIdleConnectionForANewOne)
{
    std::vector<std::unique_ptr<blocking_client>> clients;
    const auto connect = [&] {
        clients.push_back(std::make_unique<blocking_client>(m_clients.address()));
        clients.back()->send(request);
        runFor(milliseconds {5});
        EXPECT_TRUE(clients.back()->received().starts_with("HTTP/1.1 503"));
    };
    // An eighth is kept free.
    for (std::size_t i = 0; i < maxConnections - maxConnections / 8; ++i) {
        connect();
    }
    runFor(milliseconds {150});
    clients[0]->send(request);
    runFor(milliseconds {5});
    EXPECT_TRUE(clients[0]->received().starts_with("HTTP/1.1 503")) << "no longer the longest idle";
    connect();
    runFor(milliseconds {20});
    EXPECT_TRUE(clients[1]->closed());
    EXPECT_FALSE(clients[0]->closed());
    EXPECT_FALSE(clients[2]->closed());
}

TEST_F(client_server_test, acceptsNoConnectionWhileAllAreInUse)
{
    std::vector<std::unique_ptr<blocking_client>> clients;
    for (std::size_t i = 0; i < maxConnections; ++i) {
        clients.push_back(std::make_unique<blocking_client>(m_clients.address()));
        clients.back()->send(request.substr(0, request.size() / 2));
    }
    blocking_client late(m_clients.address());
    late.send(request);
    runFor(milliseconds {200});
    EXPECT_EQ(late.received(), "");
    EXPECT_EQ(m_clients.busyConnections(), maxConnections);
    clients[0]->send(request.substr(request.size() / 2));
    runFor(milliseconds {20});
    EXPECT_TRUE(clients[0]->received().starts_with("HTTP/1.1 503"));
    clients[0].reset();
    runFor(milliseconds {200});
    EXPECT_TRUE(late.received().starts_with("HTTP/1.1 503"));
    for (std::size_t i = 1; i < clients.size(); ++i) {
        EXPECT_FALSE(clients[i]->closed()) << i;
    }
}

// A client that stops before the end of its body is closed for others, and is told the truth.
TEST_F(client_server_test, closesTheLongestUnfinishedRequestWhenTooMuchIsHeld)
{
    const std::string head = "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 120000\r\n\r\n";
    blocking_client first(m_clients.address());
    first.send(head + std::string(119999, 'b'));
    runFor(milliseconds {50});
    EXPECT_GE(m_requests.memory().usedBytes(memory_kind::input), 119999U);
    blocking_client second(m_clients.address());
    second.send(head + std::string(119999, 'b'));
    runFor(milliseconds {50});
    EXPECT_TRUE(first.received().starts_with("HTTP/1.1 408"));
    EXPECT_EQ(second.received(), "");
    EXPECT_LE(m_requests.memory().usedBytes(), clientMemoryBytes);
    second.send("b");
    runFor(milliseconds {50});
    EXPECT_TRUE(second.received().starts_with("HTTP/1.1 503"));
}

// The limit is below what this request takes, but nobody else is there.
TEST_F(client_server_test, servesAClientAloneWhateverTheLimit)
{
    blocking_client client(m_clients.address());
    client.send("POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 500000\r\n\r\n" + std::string(250000, 'b'));
    runFor(milliseconds {50});
    EXPECT_TRUE(m_requests.memory().exceeded());
    EXPECT_EQ(client.received(), "");
    client.send(std::string(250000, 'b'));
    runFor(milliseconds {50});
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 503"));
}

// A client that takes no answers could have any number of them made and kept here.
TEST_F(client_server_test, readsNoFurtherRequestWhileAnAnswerWaits)
{
    constexpr int rounds = 400;
    constexpr int requestsPerRound = 200;
    std::string requests;
    for (int i = 0; i < rounds * requestsPerRound; ++i) {
        requests += request;
    }
    blocking_client client(m_clients.address(), smallBufferBytes);
    for (int i = 0; i < rounds && client.sendSome(requests); ++i) {
        runFor(milliseconds {1});
        ASSERT_LT(m_requests.memory().usedBytes(memory_kind::output), clientMemoryBytes / 10) << i;
    }
}
