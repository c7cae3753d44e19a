#include <Version/version.h>

#include <gtest/gtest.h>

using namespace daisystile;

/// A platform that answers each call with the same reply and keeps what it was asked.
class platform_client_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_server = http_server::listen(m_loop, {"127.0.0.1", 0}, [this](http_request request, http_responder respond) {
            m_asked = std::move(request);
            if (m_reply) {
                respond(*m_reply);
            }
        }).value();
        m_client = std::make_unique<platform_client>(m_http,
            platform_client_settings {
                .platform = m_server->address(), .domain = {"sfax-port"}, .timeout = milliseconds {50}, .watchTimeout = milliseconds {50}});
    }

    template<class Result, class Send> Result run(const Send &send)
    {
        Result answer;
        send([&](Result result) {
            answer = std::move(result);
            m_loop.stop();
        });
        m_loop.run();
        return answer;
    }

    write_result put(const write_condition &condition)
    {
        return run<write_result>([&](auto callback) { m_client->put("config/head", "text", condition, callback); });
    }

    reactor m_loop;
    http_client m_http {m_loop};
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<platform_client> m_client;
    std::optional<http_response> m_reply;
    http_request m_asked;
};

TEST_F(platform_client_test, writesConditionally)
{
    m_reply = http_response {.headers = {{"ETag", "\"8\""}}};
    EXPECT_EQ(std::get<object_written>(put(if_version {"\"7\""})).etag, "\"8\"");
    EXPECT_EQ(m_asked.path, "/objects/config/head");
    EXPECT_EQ(m_asked.header("if-match"), "\"7\"");
    EXPECT_EQ(m_asked.header("failure-domain"), "sfax-port");
    put(if_absent {});
    EXPECT_EQ(m_asked.header("if-none-match"), "*");
    EXPECT_EQ(m_client->counts().put, 2U);
}

TEST_F(platform_client_test, tellsTheOutcomeOfAWriteTruly)
{
    m_reply = http_response {.status = 412};
    EXPECT_TRUE(std::holds_alternative<write_conflict>(put(if_absent {})));
    m_reply = http_response {.status = 503};
    EXPECT_TRUE(std::holds_alternative<platform_unavailable>(put(if_absent {})));
    m_reply = http_response {.status = 500};
    EXPECT_TRUE(std::holds_alternative<write_unknown>(put(if_absent {})));
    m_reply.reset();
    EXPECT_TRUE(std::holds_alternative<write_unknown>(put(if_absent {})));
    m_client = std::make_unique<platform_client>(m_http, platform_client_settings {.platform = {"127.0.0.1", 1}, .domain = {"d"}});
    EXPECT_TRUE(std::holds_alternative<platform_unavailable>(put(if_absent {})));
}

TEST_F(platform_client_test, readsObjectsListsWatchesAndHosts)
{
    m_reply = http_response {.status = 404};
    EXPECT_TRUE(std::holds_alternative<object_not_found>(run<read_result>([&](auto callback) { m_client->get("a", callback); })));
    m_reply = http_response {.body = R"([{"key":"a","etag":"1","value":"x"}])", .headers = {{"Revision", "9"}}};
    const auto list = std::get<object_list>(run<list_result>([&](auto callback) { m_client->list("a", callback); }));
    EXPECT_EQ(list.objects.at(0).value, "x");
    EXPECT_EQ(list.revision, 9U);
    m_reply = http_response {.body = R"({"events":[{"revision":4,"key":"a","etag":"2","value":"y"},{"revision":5,"key":"b","deleted":true}],"revision":5})"};
    const auto batch = std::get<watch_batch>(run<watch_result>([&](auto callback) { m_client->watch("a", 3, callback); }));
    EXPECT_EQ(m_asked.query["after"], "3");
    EXPECT_EQ(batch.revision, 5U);
    EXPECT_EQ(batch.events.at(0).object.value, "y");
    EXPECT_TRUE(batch.events.at(1).deleted);
    m_reply = http_response {.status = 410};
    EXPECT_TRUE(std::holds_alternative<watch_compacted>(run<watch_result>([&](auto callback) { m_client->watch("a", 3, callback); })));
    m_reply = http_response {.body = R"([{"id":"h","domain":"d","region":"r","traffic":"127.0.0.1:1","control":"127.0.0.1:2","state":"leaving"}])"};
    const auto hosts = std::get<std::vector<platform_host>>(run<host_result>([&](auto callback) { m_client->hosts(callback); }));
    EXPECT_TRUE(hosts.at(0).leaving);
    EXPECT_EQ(hosts.at(0).control.port, 2);
}

TEST_F(platform_client_test, takesAMalformedReplyForUnavailable)
{
    for (const auto *body : {"", "{", "[]", R"({"events":7,"revision":1})", R"([{"key":7}])", "null"}) {
        m_reply = http_response {.body = body};
        const auto watched = run<watch_result>([&](auto callback) { m_client->watch("a", 3, callback); });
        EXPECT_TRUE(std::holds_alternative<platform_unavailable>(watched)) << body;
    }
}
