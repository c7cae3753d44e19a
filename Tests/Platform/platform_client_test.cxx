#include <platform/platform.h>

#include <gtest/gtest.h>

using namespace daisystile;

/// Runs a client against a server that answers each request with m_reply, or not at all, and records the last request.
class platform_client_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_server = http_server::listen(m_loop, {"127.0.0.1", 0}, [this](http_request request, http_responder respond) {
            m_lastRequest = std::move(request);
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
    http_request m_lastRequest;
};

TEST_F(platform_client_test, writesConditionally)
{
    m_reply = http_response {.body = R"({"meta":{"name":"head","revision":8},"spec":"text"})"};
    EXPECT_EQ(std::get<object_written>(put(if_version {"7"})).etag, "8");
    EXPECT_EQ(m_lastRequest.method, "PUT");
    EXPECT_EQ(m_lastRequest.path, "/v1/objects/config/head");
    EXPECT_EQ(m_lastRequest.header("user-agent"), "daisystile/sfax-port");
    EXPECT_EQ(m_lastRequest.body, R"({"meta":{"name":"head","revision":7},"spec":"text"})");
    put(if_absent {});
    EXPECT_EQ(m_lastRequest.method, "POST");
    EXPECT_EQ(m_lastRequest.path, "/v1/objects/config");
    EXPECT_EQ(m_lastRequest.body, R"({"meta":{"name":"head"},"spec":"text"})");
    EXPECT_EQ(m_client->counts().put, 2U);
}

TEST_F(platform_client_test, reportsTheOutcomeOfAWrite)
{
    m_reply = http_response {.status = 409};
    EXPECT_TRUE(std::holds_alternative<write_conflict>(put(if_absent {})));
    EXPECT_TRUE(std::holds_alternative<write_conflict>(put(if_version {"7"})));
    m_reply = http_response {.status = 404};
    EXPECT_TRUE(std::holds_alternative<write_conflict>(put(if_version {"7"})));
    for (const int status : {503, 429}) {
        m_reply = http_response {.status = status};
        EXPECT_TRUE(std::holds_alternative<platform_unavailable>(put(if_absent {}))) << status;
    }
    m_reply = http_response {.status = 500};
    EXPECT_TRUE(std::holds_alternative<write_unknown>(put(if_absent {})));
    m_reply.reset();
    EXPECT_TRUE(std::holds_alternative<write_unknown>(put(if_absent {})));
    m_client = std::make_unique<platform_client>(m_http, platform_client_settings {.platform = {"127.0.0.1", 1}, .domain = {"d"}});
    EXPECT_TRUE(std::holds_alternative<platform_unavailable>(put(if_absent {})));
}

TEST_F(platform_client_test, removesConditionally)
{
    m_reply = http_response {.body = "{}"};
    const auto removed = run<remove_result>([&](auto callback) { m_client->remove("kind/a/b", if_version {"7"}, callback); });
    EXPECT_TRUE(std::holds_alternative<object_removed>(removed));
    EXPECT_EQ(m_lastRequest.path, "/v1/objects/kind/a:b");
    EXPECT_EQ(m_lastRequest.query["revision"], "7");
}

TEST_F(platform_client_test, parsesObjectsAndHosts)
{
    m_reply = http_response {.status = 404};
    EXPECT_TRUE(std::holds_alternative<object_not_found>(run<read_result>([&](auto callback) { m_client->get("a/b", callback); })));
    m_reply = http_response {.body = R"({"meta":{"name":"b:c","revision":4},"spec":{"x":1},"status":null})"};
    const auto object = std::get<platform_object>(run<read_result>([&](auto callback) { m_client->get("a/b/c", callback); }));
    EXPECT_EQ(object.key, "a/b/c");
    EXPECT_EQ(object.etag, "4");
    EXPECT_EQ(object.value, R"({"x":1})");
    m_reply = http_response {
        .body =
            R"({"items":[{"meta":{"name":"h","revision":1},"spec":{"id":"h","domain":"d","region":"r","traffic":"127.0.0.1:1","control":"127.0.0.1:2","state":"leaving"}}],"has_more":false,"current_rev":5})"};
    const auto hosts = std::get<std::vector<platform_host>>(run<host_result>([&](auto callback) { m_client->hosts(callback); }));
    EXPECT_TRUE(hosts.at(0).leaving);
    EXPECT_EQ(hosts.at(0).control.port, 2);
}

TEST_F(platform_client_test, readsAllPagesAndSkipsMalformedObjects)
{
    std::vector<std::string> requestedAfter;
    m_server = http_server::listen(m_loop, {"127.0.0.1", 0}, [&](const http_request &request, const http_responder &respond) {
        const auto after = request.query.find("after");
        requestedAfter.push_back(after == request.query.end() ? "" : after->second);
        respond({.body = requestedAfter.size() == 1
                ? R"({"items":[{"meta":{"name":"a","revision":1},"spec":"x"},{"meta":{"name":"b","revision":"two"}}],"has_more":true,"current_rev":9})"
                : R"({"items":[{"meta":{"name":"c","revision":3},"spec":"z"}],"has_more":false,"current_rev":12})"});
    }).value();
    m_client = std::make_unique<platform_client>(m_http, platform_client_settings {.platform = m_server->address(), .domain = {"d"}});
    const auto list = std::get<object_list>(run<list_result>([&](auto callback) { m_client->list("kind/", read_freshness::newest, callback); }));
    EXPECT_EQ(requestedAfter, (std::vector<std::string> {"", "b"}));
    ASSERT_EQ(list.objects.size(), 2U);
    EXPECT_EQ(list.objects[1].key, "kind/c");
    EXPECT_EQ(list.revision, store_revision {9}) << "a watch has to continue from the first page";
}

TEST_F(platform_client_test, watchesForEvents)
{
    m_reply = http_response {
        .body =
            R"({"events":[{"removed":false,"object":{"meta":{"name":"a","revision":4},"spec":"y"}},{"removed":true,"object":{"meta":{"name":"b","revision":5}}},{"removed":true}],"current_rev":5})"};
    const auto batch = std::get<watch_batch>(run<watch_result>([&](auto callback) { m_client->watch("kind/", {3}, callback); }));
    EXPECT_EQ(m_lastRequest.query["watch"], "3");
    EXPECT_EQ(batch.revision, store_revision {5});
    ASSERT_EQ(batch.events.size(), 2U);
    EXPECT_EQ(batch.events.at(0).object.value, "y");
    EXPECT_TRUE(batch.events.at(1).deleted);
    m_reply = http_response {.status = 410};
    EXPECT_TRUE(std::holds_alternative<watch_compacted>(run<watch_result>([&](auto callback) { m_client->watch("kind/", {3}, callback); })));
}

TEST_F(platform_client_test, reportsAMalformedReplyAsUnavailable)
{
    for (const auto *body : {"", "{", "[]", R"({"events":7,"current_rev":1})", R"([{"key":7}])", "null", R"({"events":[],"current_rev":"x"})"}) {
        m_reply = http_response {.body = body};
        const auto watched = run<watch_result>([&](auto callback) { m_client->watch("a/", {3}, callback); });
        EXPECT_TRUE(std::holds_alternative<platform_unavailable>(watched)) << body;
        const auto listed = run<list_result>([&](auto callback) { m_client->list("a/", read_freshness::newest, callback); });
        EXPECT_TRUE(std::holds_alternative<platform_unavailable>(listed)) << body;
    }
}

// A list nested 200,000 levels deep in one entry ended every daemon that listed or watched the servers.
TEST_F(platform_client_test, aDeeplyNestedValueIsPassedOnAsItStands)
{
    const auto nested = R"({"capacity":)" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
    const auto object = R"({"meta":{"name":"a","revision":4},"spec":)" + nested + "}";
    m_reply = http_response {.body = R"({"items":[)" + object + R"(],"has_more":false,"current_rev":5})"};
    const auto list = std::get<object_list>(run<list_result>([&](auto callback) { m_client->list("servers/", read_freshness::newest, callback); }));
    EXPECT_EQ(list.objects.at(0).value, nested);
    m_reply = http_response {.body = R"({"events":[{"removed":false,"object":)" + object + R"(}],"current_rev":5})"};
    const auto batch = std::get<watch_batch>(run<watch_result>([&](auto callback) { m_client->watch("servers/", {3}, callback); }));
    EXPECT_EQ(batch.events.at(0).object.value, nested);
    m_reply = http_response {.body = object};
    EXPECT_EQ(std::get<platform_object>(run<read_result>([&](auto callback) { m_client->get("servers/a", callback); })).value, nested);
    EXPECT_EQ(std::get<object_written>(put(always {})).etag, "4");
    EXPECT_TRUE(std::holds_alternative<malformed_text>(readServerEntry({"a"}, nested)));
    EXPECT_TRUE(std::holds_alternative<malformed_text>(readRoutingConfiguration(nested)));
}

// A single surrogate or a number out of range in one entry made every listing and watch of the servers fail.
TEST_F(platform_client_test, anObjectThatCannotBeReadHidesNoOther)
{
    for (const std::string spoiled : {R"({"zone":"\ud800"})", R"({"capacity":1e999})", R"("\udfff")", "nul", "{\"zone\":\"\xff\xfe\"}"}) {
        const auto objects = std::string(R"([{"meta":{"name":"a","revision":1},"spec":)") + spoiled
            + R"(},{"meta":{"name":"b","revision":2},"spec":{"x":1}},{"meta":{"name":"\ud800","revision":3},"spec":{}},{"spec":7},7])";
        m_reply = http_response {.body = R"({"items":)" + objects + R"(,"has_more":false,"current_rev":9})"};
        const auto list = std::get<object_list>(run<list_result>([&](auto callback) { m_client->list("servers/", read_freshness::newest, callback); }));
        ASSERT_EQ(list.objects.size(), 2U) << spoiled;
        EXPECT_EQ(list.objects[0].value, spoiled);
        EXPECT_EQ(list.objects[1].value, R"({"x":1})");
        EXPECT_TRUE(std::holds_alternative<malformed_text>(readServerEntry({"a"}, spoiled)));
        m_reply = http_response {.body = R"({"events":[{"object":{"meta":{"name":"a","revision":1},"spec":)" + spoiled
                + R"(}},{"object":{"meta":{"name":"b","revision":2}},"removed":true}],"current_rev":9})"};
        const auto batch = std::get<watch_batch>(run<watch_result>([&](auto callback) { m_client->watch("servers/", {3}, callback); }));
        ASSERT_EQ(batch.events.size(), 2U) << spoiled;
        EXPECT_EQ(batch.events[0].object.value, spoiled);
        EXPECT_TRUE(batch.events[1].deleted);
    }
}

TEST_F(platform_client_test, aHostThatCannotBeReadHidesNoOther)
{
    m_reply = http_response {
        .body =
            R"({"items":[{"meta":{"name":"g","revision":1},"spec":{"id":7}},{"meta":{"name":"h","revision":1},"spec":{"id":"h","domain":"d","traffic":"127.0.0.1:1","control":"127.0.0.1:2"}}],"has_more":false,"current_rev":5})"};
    const auto hosts = std::get<std::vector<platform_host>>(run<host_result>([&](auto callback) { m_client->hosts(callback); }));
    ASSERT_EQ(hosts.size(), 1U);
    EXPECT_EQ(hosts[0].id.value, "h");
}

TEST_F(platform_client_test, aListingThatDoesNotGoOnEnds)
{
    m_reply = http_response {.body = R"({"items":[{"meta":{"name":"a","revision":1},"spec":{}}],"has_more":true,"current_rev":9})"};
    const auto list = [this] {
        return run<list_result>([&](auto callback) { m_client->list("servers/", read_freshness::newest, callback); });
    };
    EXPECT_TRUE(std::holds_alternative<platform_unavailable>(list()));
    m_reply = http_response {.body = R"({"items":[7],"has_more":true,"current_rev":9})"};
    EXPECT_TRUE(std::holds_alternative<platform_unavailable>(list()));
}

TEST_F(platform_client_test, aNameWithAnyCharactersContinuesAListing)
{
    const std::string name = "a b&c=%d/\xc3\xa4?#";
    std::vector<std::string> requestedAfter;
    m_server = http_server::listen(m_loop, {"127.0.0.1", 0}, [&](const http_request &request, const http_responder &respond) {
        const auto after = request.query.find("after");
        requestedAfter.push_back(after == request.query.end() ? "" : after->second);
        const bool first = requestedAfter.size() == 1;
        respond({.body = first ? R"({"items":[{"meta":{"name":")" + name + R"(","revision":1},"spec":{}}],"has_more":true,"current_rev":9})"
                               : std::string(R"({"items":[],"has_more":false,"current_rev":9})")});
    }).value();
    m_client = std::make_unique<platform_client>(m_http, platform_client_settings {.platform = m_server->address(), .domain = {"d"}});
    const auto list = run<list_result>([&](auto callback) { m_client->list("servers/", read_freshness::newest, callback); });
    EXPECT_EQ(std::get<object_list>(list).objects.size(), 1U);
    EXPECT_EQ(requestedAfter, (std::vector<std::string> {"", name}));
}

// Some foreign entries of the largest size filled the memory of the daemons and the frames between them.
TEST_F(platform_client_test, aValueLongerThanItsKindAllowsIsLeftEmpty)
{
    m_client = std::make_unique<platform_client>(
        m_http, platform_client_settings {.platform = m_server->address(), .domain = {"d"}, .maxValueBytes = {{"servers", 10}}});
    const auto valueIn = [this](const std::string &prefix, std::size_t length) {
        m_reply = http_response {
            .body = R"({"items":[{"meta":{"name":"a","revision":1},"spec":")" + std::string(length - 2, 'x') + R"("}],"has_more":false,"current_rev":9})"};
        const auto listed = run<list_result>([&](auto callback) { m_client->list(prefix, read_freshness::newest, callback); });
        return std::get<object_list>(listed).objects.at(0).value.size();
    };
    EXPECT_EQ(valueIn("servers/", 10), 8U);
    EXPECT_EQ(valueIn("servers/", 11), 0U);
    EXPECT_EQ(valueIn("config/", 11), 9U);
    EXPECT_TRUE(std::holds_alternative<malformed_text>(readServerEntry({"a"}, "")));
}

TEST_F(platform_client_test, anAnswerOfAnEarlierEraIsAFailedCall)
{
    int began = 0;
    m_client->onNewEra([&] { began += 1; });
    const auto get = [this](const std::string &era) {
        m_reply = http_response {.body = R"({"meta":{"name":"b","revision":4},"spec":{}})", .headers = {{"Store-Era", era}}};
        return run<read_result>([&](auto callback) { m_client->get("a/b", callback); });
    };
    EXPECT_EQ(std::get<platform_object>(get("1")).etag, "1.4");
    EXPECT_EQ(std::get<platform_object>(get("2")).etag, "2.4");
    EXPECT_TRUE(std::holds_alternative<platform_unavailable>(get("1")));
    EXPECT_EQ(m_client->era(), 2U);
    EXPECT_EQ(began, 1) << "the first era that is read is no return";
    m_client->learnEra(3);
    EXPECT_TRUE(std::holds_alternative<platform_unavailable>(get("2"))) << "another daemon has read era 3";
}

// The store may have given the revision to another content since.
TEST_F(platform_client_test, aVersionOfAnEarlierEraIsNoLongerTheObjects)
{
    constexpr const char *impossible = "9007199254740991";
    m_client->learnEra(2);
    m_reply = http_response {.status = 409, .headers = {{"Store-Era", "2"}}};
    EXPECT_TRUE(std::holds_alternative<write_conflict>(put(if_version {"1.7"})));
    EXPECT_NE(m_lastRequest.body.find(impossible), std::string::npos) << m_lastRequest.body;
    run<remove_result>([&](auto callback) { m_client->remove("kind/a", if_version {"1.7"}, callback); });
    EXPECT_EQ(m_lastRequest.query["revision"], impossible);
    put(if_version {"2.7"});
    EXPECT_NE(m_lastRequest.body.find(R"("revision":7)"), std::string::npos) << m_lastRequest.body;
}

TEST_F(platform_client_test, pagesOfTwoErasAreNoListing)
{
    int pages = 0;
    m_server = http_server::listen(m_loop, {"127.0.0.1", 0}, [&](const http_request &, const http_responder &respond) {
        pages += 1;
        const bool first = pages == 1;
        respond({.body = first ? R"({"items":[{"meta":{"name":"a","revision":1},"spec":{}}],"has_more":true,"current_rev":9})"
                               : R"({"items":[],"has_more":false,"current_rev":9})",
            .headers = {{"Store-Era", first ? "1" : "2"}}});
    }).value();
    m_client = std::make_unique<platform_client>(m_http, platform_client_settings {.platform = m_server->address(), .domain = {"d"}});
    const auto list = run<list_result>([&](auto callback) { m_client->list("kind/", read_freshness::newest, callback); });
    EXPECT_TRUE(std::holds_alternative<platform_unavailable>(list));
    EXPECT_EQ(pages, 2);
}

TEST(readServerEntry, aNameThatIsNoHeaderValueNamesNoServer)
{
    const auto *entry = R"({"service":"s","address":"127.0.0.1:9","zone":"z","capacity":1,"state":"ready","warmup_left_ms":0})";
    EXPECT_TRUE(std::holds_alternative<server_entry>(readServerEntry({"i-7f3a"}, entry)));
    for (const auto *name : {"a\r\nX: y", "a b", "a\tb", "\x7f", "\xc3\xa4"}) {
        EXPECT_TRUE(std::holds_alternative<malformed_text>(readServerEntry({name}, entry))) << name;
    }
}
