#include "odd_status_lines.h"
#include "open_listener.h"

#include <array>
#include <atomic>
#include <set>
#include <thread>

using namespace daisystile;

namespace {

/// A listening socket whose accept queue is full, so that further connections are never established.
class silent_listener
{
public:
    silent_listener()
    {
        for (auto &client : m_clients) {
            client = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            // The last connections stay in the connecting state.
            static_cast<void>(connect(client, reinterpret_cast<const sockaddr *>(&m_listener.address), sizeof m_listener.address));
        }
    }

    ~silent_listener()
    {
        for (const int client : m_clients) {
            close(client);
        }
    }

    silent_listener(const silent_listener &) = delete;
    silent_listener &operator=(const silent_listener &) = delete;

    ip_address address() const
    {
        return m_listener.listenAddress();
    }

private:
    open_listener m_listener {0};
    std::array<int, 3> m_clients {};
};

} // namespace

namespace {

/// A server on its own thread that answers the first request and closes the connection without a response on each later one.
class closing_server
{
public:
    closing_server()
    {
        m_thread = std::thread([this] { serve(); });
    }

    ~closing_server()
    {
        shutdown(m_listener.handle, SHUT_RDWR);
        m_thread.join();
    }

    closing_server(const closing_server &) = delete;
    closing_server &operator=(const closing_server &) = delete;

    ip_address address() const
    {
        return m_listener.listenAddress();
    }

    int requests() const
    {
        return m_requests;
    }

private:
    void serve()
    {
        for (int client = accept(m_listener.handle, nullptr, nullptr); client >= 0; client = accept(m_listener.handle, nullptr, nullptr)) {
            while (readRequest(client) && ++m_requests == 1) {
                static constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                EXPECT_EQ(write(client, answer.data(), answer.size()), static_cast<ssize_t>(answer.size()));
            }
            close(client);
        }
    }

    static bool readRequest(int client)
    {
        std::array<char, 4096> bytes {};
        std::string text;
        while (text.find("\r\n\r\nbody") == std::string::npos) {
            const auto count = read(client, bytes.data(), bytes.size());
            if (count <= 0) {
                return false;
            }
            text.append(bytes.data(), static_cast<std::size_t>(count));
        }
        return true;
    }

    open_listener m_listener {1};
    std::atomic<int> m_requests = 0;
    std::thread m_thread;
};

} // namespace

class http_round_trip : public testing::Test
{
protected:
    void listen(http_handler handler, http_server_limits limits = {})
    {
        m_server = http_server::listen(m_loop, {"127.0.0.1", 0}, std::move(handler), limits).value();
    }

    void listenAt(const ip_address &address, http_handler handler)
    {
        m_server = http_server::listen(m_loop, address, std::move(handler), {}).value();
    }

    void runFor(milliseconds time)
    {
        m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    http_result call(http_call request)
    {
        request.address = m_server->address();
        return callAddress(std::move(request));
    }

    http_result callAddress(http_call request)
    {
        http_result answer;
        m_client.send(std::move(request), [&](http_result result) {
            answer = std::move(result);
            m_loop.stop();
        });
        m_loop.run();
        return answer;
    }

    reactor m_loop;
    http_client m_client {m_loop};
    std::unique_ptr<http_server> m_server;
};

TEST_F(http_round_trip, transfersMethodPathHeadersAndBody)
{
    listen([](http_request request, http_responder respond) {
        http_response response;
        response.body = request.method + " " + request.path + " " + request.query["a"] + " " + request.header("x-name").value_or("-") + " " + request.body;
        response.headers.push_back({"ETag", "7"});
        respond(std::move(response));
    });
    http_call request {.method = "PUT", .path = "/objects/x?a=1", .headers = {{"X-Name", "n"}}, .body = "text"};
    const auto reply = std::get<http_reply>(call(std::move(request)));
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "PUT /objects/x 1 n text");
    EXPECT_EQ(reply.headers.at("etag"), "7");
}

TEST_F(http_round_trip, answersAfterTheHandlerReturned)
{
    listen([this](http_request, http_responder respond) { m_loop.after(milliseconds {10}, [respond] { respond({.status = 202, .body = "late"}); }); });
    const auto reply = std::get<http_reply>(call({}));
    EXPECT_EQ(reply.status, 202);
    EXPECT_EQ(reply.body, "late");
    EXPECT_EQ(m_server->openRequests(), 0U);
}

TEST_F(http_round_trip, rejectsAnOversizedBody)
{
    listen([](http_request, http_responder respond) { respond({}); }, {.bodyBytes = 10});
    const auto reply = std::get<http_reply>(call({.method = "POST", .body = std::string(11, 'x')}));
    EXPECT_EQ(reply.status, 413);
}

TEST_F(http_round_trip, reportsThatNothingWasSentWhenNobodyListens)
{
    listen([](http_request, http_responder) {});
    http_result answer;
    m_client.send({.address = {"127.0.0.1", 1}}, [&](http_result result) {
        answer = std::move(result);
        m_loop.stop();
    });
    m_loop.run();
    const auto failure = std::get<http_failure>(answer);
    EXPECT_EQ(failure.kind, http_failure_kind::connect_failed);
    EXPECT_FALSE(failure.mayHaveBeenSent);
}

TEST_F(http_round_trip, reportsThatATimedOutCallMayHaveBeenSent)
{
    listen([](http_request, http_responder) {});
    const auto failure = std::get<http_failure>(call({.timeout = milliseconds {20}}));
    EXPECT_EQ(failure.kind, http_failure_kind::timed_out);
    EXPECT_TRUE(failure.mayHaveBeenSent);
}

TEST_F(http_round_trip, reportsACancelledCallOnce)
{
    listen([](http_request, http_responder) {});
    int callbacks = 0;
    const auto id = m_client.send({.address = m_server->address()}, [&](http_result) { callbacks += 1; });
    m_loop.after(milliseconds {10}, [&] {
        m_client.cancel(id);
        m_client.cancel(id);
        m_loop.after(milliseconds {5}, [&] { m_loop.stop(); });
    });
    m_loop.run();
    EXPECT_EQ(callbacks, 1);
}

TEST_F(http_round_trip, opensANewConnectionWhenTheIdleOneWasClosed)
{
    const auto echo = [](http_request request, http_responder respond) {
        respond({.body = request.body});
    };
    listen(echo);
    const auto address = m_server->address();
    EXPECT_EQ(std::get<http_reply>(call({.method = "POST", .body = "one"})).body, "one");
    m_server.reset();
    m_server = http_server::listen(m_loop, address, echo).value();
    // Lets the event loop detect that the idle connection was closed.
    m_loop.after(milliseconds {5}, [this] { m_loop.stop(); });
    m_loop.run();
    EXPECT_EQ(std::get<http_reply>(call({.method = "POST", .body = "two"})).body, "two");
    EXPECT_EQ(std::get<http_reply>(call({.method = "GET"})).body, "");
    EXPECT_EQ(std::get<http_reply>(call({.method = "PUT", .body = "three"})).body, "three");
}

TEST_F(http_round_trip, reportsAnIdleConnectionClosedByTheServer)
{
    std::vector<closed_idle_connection> ends;
    m_client.onIdleConnectionClosed([&](const closed_idle_connection &end) { ends.push_back(end); });
    listen([](http_request, http_responder respond) { respond({}); });
    const auto address = m_server->address();
    ASSERT_TRUE(std::holds_alternative<http_reply>(call({})));
    runFor(milliseconds {20});
    EXPECT_TRUE(ends.empty());
    m_server.reset();
    runFor(milliseconds {20});
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].address, address);
    EXPECT_GE(ends[0].idleTime, milliseconds {20});
}

TEST_F(http_round_trip, reportsAClosedIdleConnectionFoundByTheNextCall)
{
    std::vector<closed_idle_connection> ends;
    m_client.onIdleConnectionClosed([&](const closed_idle_connection &end) { ends.push_back(end); });
    const auto answer = [](const http_request &, const http_responder &respond) {
        respond({});
    };
    listen(answer);
    const auto address = m_server->address();
    ASSERT_TRUE(std::holds_alternative<http_reply>(call({})));
    m_server.reset();
    listenAt(address, answer);
    ASSERT_TRUE(std::holds_alternative<http_reply>(call({})));
    runFor(milliseconds {5});
    EXPECT_EQ(ends.size(), 1U);
}

TEST_F(http_round_trip, doesNotReportAConnectionClosedByTheResponse)
{
    std::vector<closed_idle_connection> ends;
    m_client.onIdleConnectionClosed([&](const closed_idle_connection &end) { ends.push_back(end); });
    listen([](http_request, http_responder respond) {
        http_response response;
        response.headers.push_back({"Connection", "close"});
        respond(std::move(response));
    });
    ASSERT_TRUE(std::holds_alternative<http_reply>(call({})));
    runFor(milliseconds {20});
    EXPECT_TRUE(ends.empty());
}

TEST_F(http_round_trip, sendsACallOnceWhenItsReusedConnectionBreaks)
{
    closing_server server;
    const http_call request {.method = "POST", .address = server.address(), .path = "/write", .body = "body"};
    ASSERT_TRUE(std::holds_alternative<http_reply>(callAddress(request)));
    const auto failure = std::get<http_failure>(callAddress(request));
    EXPECT_EQ(failure.kind, http_failure_kind::reset);
    EXPECT_TRUE(failure.mayHaveBeenSent);
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(http_round_trip, appliesMethodHeadersAndTimeoutPerCall)
{
    listen([this](http_request request, http_responder respond) {
        const auto body = request.method + request.body + request.header("x-one").value_or("-");
        m_loop.after(milliseconds {request.path == "/slow" ? 60 : 1}, [respond, body] { respond({.body = body}); });
    });
    EXPECT_EQ(std::get<http_reply>(call({.method = "POST", .headers = {{"X-One", "1"}}, .body = "b"})).body, "POSTb1");
    EXPECT_EQ(std::get<http_reply>(call({.method = "DELETE"})).body, "DELETE-");
    EXPECT_EQ(std::get<http_failure>(call({.path = "/slow", .timeout = milliseconds {20}})).kind, http_failure_kind::timed_out);
    EXPECT_EQ(std::get<http_reply>(call({.path = "/slow", .timeout = milliseconds {2000}})).body, "GET-");
}

TEST_F(http_round_trip, unwatchesTheSocketOfAConnectionThatNeverOpened)
{
    const silent_listener silent;
    http_result lost;
    m_client.send({.address = silent.address(), .timeout = milliseconds {100}}, [&](http_result result) {
        lost = std::move(result);
        m_loop.stop();
    });
    m_loop.run();
    EXPECT_EQ(std::get<http_failure>(lost).kind, http_failure_kind::timed_out);

    // One of these pipe ends reuses the file descriptor of the failed connection.
    std::array<std::array<int, 2>, 6> pipes {};
    std::set<int> writable;
    for (auto &ends : pipes) {
        ASSERT_EQ(pipe(ends.data()), 0);
        for (const int handle : ends) {
            m_loop.watch(handle, {.read = false, .write = true}, [&writable, handle] { writable.insert(handle); });
        }
    }
    m_loop.after(milliseconds {100}, [&] { m_loop.stop(); });
    m_loop.run();
    for (const auto &ends : pipes) {
        EXPECT_TRUE(writable.contains(ends[1])) << ends[1];
        for (const int handle : ends) {
            m_loop.unwatch(handle);
            close(handle);
        }
    }
}

// Bodies just short of their end, 1 MB each, took as much memory as there were connections.
TEST(http_server, closesTheLongestUnfinishedBodyWhenAllTogetherHoldTooMuch)
{
    reactor loop;
    const auto answer = [](const http_request &, const http_responder &respond) {
        respond({.status = 200});
    };
    const auto server = http_server::listen(loop, {"127.0.0.1", 0}, answer, {.bodyBytes = 100000, .heldBodyBytes = 100000}).value();
    std::vector<bool> ended(3);
    std::vector<std::unique_ptr<tcp_stream>> clients;
    while (clients.size() < ended.size()) {
        const auto i = clients.size();
        clients.push_back(std::make_unique<tcp_stream>(loop,
            server->address(),
            tcp_stream::callbacks {.opened = {},
                .received = [] {},
                .ended =
                    [&, i](stream_end) {
                        ended[i] = true;
                        loop.stop();
                    }}));
        clients.back()->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + std::string(59999, 'b'));
        loop.after(milliseconds {50}, [&] { loop.stop(); });
        loop.run();
    }
    for (int i = 0; i < 100 && !ended[1]; ++i) {
        loop.after(milliseconds {10}, [&] { loop.stop(); });
        loop.run();
    }
    EXPECT_EQ(ended, std::vector<bool>({true, true, false}));

    http_client client(loop);
    std::optional<http_result> result;
    client.send({.method = "POST", .address = server->address(), .body = std::string(90000, 'o')}, [&](http_result reply) {
        result = std::move(reply);
        loop.stop();
    });
    while (!result) {
        loop.run();
    }
    ASSERT_TRUE(std::holds_alternative<http_reply>(*result));
    EXPECT_EQ(std::get<http_reply>(*result).status, 200);
}

// The store's answers are read by this client.
TEST(http_client, takesNothingElseForAStatus)
{
    reactor loop;
    for (const auto line : oddStatusLines) {
        int connections = 0;
        std::vector<std::unique_ptr<tcp_stream>> streams;
        const auto accepted = [&](int handle) {
            connections += 1;
            auto &stream = streams.emplace_back();
            stream = std::make_unique<tcp_stream>(loop,
                handle,
                tcp_stream::callbacks {.opened = {},
                    .received =
                        [&streams, line, at = streams.size() - 1] {
                            streams[at]->input().clear();
                            streams[at]->write("HTTP/1.1 " + std::string(line) + "\r\nContent-Length: 1\r\n\r\nx");
                        },
                    .ended =
                        [](stream_end) {
                        }});
        };
        const auto listener = tcp_listener::listen(loop, {"127.0.0.1", 0}, accepted).value();
        http_client client(loop);
        for (int call = 1; call <= 2; ++call) {
            std::optional<http_result> result;
            client.send({.address = listener->address()}, [&](http_result reply) {
                result = std::move(reply);
                loop.stop();
            });
            while (!result) {
                loop.run();
            }
            ASSERT_TRUE(std::holds_alternative<http_failure>(*result)) << line;
            EXPECT_TRUE(std::get<http_failure>(*result).mayHaveBeenSent) << line;
            EXPECT_EQ(connections, call) << "the connection was used again: " << line;
        }
    }
}
