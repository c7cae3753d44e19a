#include "Process/process.h"

#include <gtest/gtest.h>

using namespace daisystile;

class http_round_trip : public testing::Test
{
protected:
    void listen(http_handler handler, http_server_limits limits = {})
    {
        m_server = http_server::listen(m_loop, {"127.0.0.1", 0}, std::move(handler), limits).value();
    }

    http_result call(http_call request)
    {
        http_result answer;
        request.address = m_server->address();
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

TEST_F(http_round_trip, carriesMethodPathHeadersAndBody)
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

TEST_F(http_round_trip, refusesAnOversizedBody)
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

TEST_F(http_round_trip, usesANewConnectionWhenTheKeptOneWasClosed)
{
    const auto echo = [](http_request request, http_responder respond) {
        respond({.body = request.body});
    };
    listen(echo);
    const auto address = m_server->address();
    EXPECT_EQ(std::get<http_reply>(call({.method = "POST", .body = "one"})).body, "one");
    m_server.reset();
    m_server = http_server::listen(m_loop, address, echo).value();
    // Lets the loop see that the idle connection has ended.
    m_loop.after(milliseconds {5}, [this] { m_loop.stop(); });
    m_loop.run();
    EXPECT_EQ(std::get<http_reply>(call({.method = "POST", .body = "two"})).body, "two");
    EXPECT_EQ(std::get<http_reply>(call({.method = "GET"})).body, "");
    EXPECT_EQ(std::get<http_reply>(call({.method = "PUT", .body = "three"})).body, "three");
}

TEST_F(http_round_trip, keepsEachCallsMethodHeadersAndTimeoutApart)
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
