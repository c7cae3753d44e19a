#include <platform/platform.h>

#include <gtest/gtest.h>

using namespace daisystile;

static request_message request(std::vector<http_header> headers, std::string body = {})
{
    return {.method = "POST", .target = "/a%2Fb//c?x=%20", .headers = std::move(headers), .body = std::move(body)};
}

TEST(readRoutingConfiguration, parsesRoutesTargetsServicesAndLimits)
{
    const auto read = readRoutingConfiguration(R"({"version":7,"routes":[
        {"name":"r1","hostname":"h","path_prefix":"/a/","route_type":"idempotent","timeout_ms":600,"target_latency_ms":60.0,"priority":2,
         "fanout_services":["s1","s2"],"max_attempts":2,"top_k":5,"min_part_share":0.75},
        {"hostname":"h","path_prefix":"/b/","route_type":"non_idempotent","timeout_ms":5000,"traffic_split":[{"service":"s1","weight":2},{"service":"s3","weight":1}]},
        {"hostname":"h","path_prefix":"/c/","service":"s3"}],
        "services":[{"name":"s3","max_connections":31,"warmup_per_s":2.5,"health_check_path":"/healthz"}],
        "limits":{"max_header_bytes":100,"idle_timeout_ms":15000}})");
    const auto &configuration = std::get<routing_configuration>(read);
    EXPECT_EQ(configuration.version.value, 7U);
    const auto &shards = std::get<shards_target>(configuration.routes[0].target);
    EXPECT_EQ(shards.shards.size(), 2U);
    EXPECT_EQ(shards.topRecords, 5U);
    EXPECT_EQ(configuration.routes[0].objective, milliseconds {60});
    EXPECT_EQ(configuration.routes[0].retryPolicy, retry_policy::idempotent);
    EXPECT_EQ(std::get<split_target>(configuration.routes[1].target).services[0].weight, 2);
    EXPECT_EQ(configuration.routes[1].retryPolicy, retry_policy::at_most_once);
    EXPECT_EQ(std::get<single_target>(configuration.routes[2].target).service.value, "s3");
    EXPECT_EQ(configuration.services.at({"s3"}).coldRequestsPerSecond, 2.5);
    EXPECT_EQ(configuration.limits.headBytes, 100U);
    for (const auto *text : {"", "{", "[]", "null", R"({"version":"x","routes":[],"services":[]})", R"({"version":1,"routes":[{}],"services":[]})"}) {
        EXPECT_TRUE(std::holds_alternative<malformed_text>(readRoutingConfiguration(text))) << text;
    }
}

TEST(readRoutingConfiguration, parsesClientAccounts)
{
    const auto read =
        readRoutingConfiguration(R"({"version":7,"routes":[{"hostname":"h","path_prefix":"/a/","service":"s","allow_anonymous":true}],"services":[],
        "tenants":[{"name":"a1","api_keys":["k1","k2"],"priority":2,"rate_per_s":48,"burst":12},{"name":"a2","rate_per_s":0,"burst":3}]})");
    const auto &configuration = std::get<routing_configuration>(read);
    EXPECT_TRUE(configuration.routes[0].anonymous);
    const auto &accounts = configuration.accounts;
    EXPECT_EQ(accounts.at(0).name.value, "a1");
    EXPECT_EQ(accounts.at(0).keys, (std::vector<sha256_digest> {sha256("k1"), sha256("k2")}));
    EXPECT_EQ(accounts.at(0).urgency, urgency_rank {2});
    EXPECT_EQ(accounts.at(0).quota, (account_quota {48, 12}));
    EXPECT_EQ(accounts.at(1).urgency, std::nullopt);
    EXPECT_EQ(accounts.at(1).quota, std::nullopt);
}

TEST(readServerEntry, parsesAnEntryAndRejectsMalformedOnes)
{
    const std::string good =
        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","capacity":3,"state":"draining","warmup_left_ms":400,"sequence":4,"born":99})";
    const auto entry = std::get<server_entry>(readServerEntry({"i-1"}, good));
    EXPECT_EQ(entry.slots, 3U);
    EXPECT_TRUE(entry.draining);
    EXPECT_EQ(entry.coldLeft, milliseconds {400});
    EXPECT_EQ(entry.born, 99U);
    EXPECT_EQ(entry.address.port, 8080);
    for (const auto *text : {"",
             "7",
             R"({"service":7,"address":"10.0.0.9:8080","zone":"z","state":"ready"})",
             R"({"service":"s","address":"nowhere","zone":"z","state":"ready"})",
             R"({"service":"s","address":"10.0.0.9:8080","zone":"z","state":"sleeping"})",
             R"({"service":"s","address":"10.0.0.9:8080","zone":"z","state":"ready","capacity":"three"})"}) {
        EXPECT_TRUE(std::holds_alternative<malformed_text>(readServerEntry({"i-1"}, text))) << text;
    }
}

TEST(readRequestHead, requiresAnIdAHostAndAValidDeadline)
{
    EXPECT_EQ(readRequestHead(request({{"request-id", "7"}, {"Host", "h"}, {"DEADLINE-MS", "600"}}))->timeLeft, milliseconds {600});
    EXPECT_FALSE(readRequestHead(request({{"Request-Id", "7"}, {"Host", "h"}}))->timeLeft.has_value());
    EXPECT_FALSE(readRequestHead(request({{"Host", "h"}})).has_value());
    EXPECT_FALSE(readRequestHead(request({{"Request-Id", "7"}})).has_value());
    EXPECT_FALSE(readRequestHead(request({{"Request-Id", "7"}, {"Host", "h"}, {"Deadline-Ms", "soon"}})).has_value());
}

TEST(serverRequest, changesOnlyHopByHopHeadersDeadlineAndExpectedServer)
{
    const auto bytes = serverRequest(request({{"Host", "h"},
                                                 {"Request-Id", "7"},
                                                 {"Deadline-Ms", "600"},
                                                 {"Expect-Instance", "forged"},
                                                 {"Connection", "keep-alive, X-Hop"},
                                                 {"X-Hop", "1"},
                                                 {"Transfer-Encoding", "chunked"},
                                                 {"X-Kept", "2"}},
                                         "body"),
        milliseconds {550},
        {"i-9"});
    EXPECT_EQ(bytes,
        "POST /a%2Fb//c?x=%20 HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nX-Kept: 2\r\nDeadline-Ms: 550\r\nExpect-Instance: i-9\r\nContent-Length: 4\r\n\r\nbody");
}

static bool isMalformed(const stated_key &key)
{
    return std::holds_alternative<malformed_key>(key);
}

TEST(readStatedKey, readsOneBearerKeyAndNoOther)
{
    EXPECT_EQ(std::get<sha256_digest>(readStatedKey(request({{"Authorization", "Bearer k1"}}))), sha256("k1"));
    EXPECT_EQ(std::get<sha256_digest>(readStatedKey(request({{"aUTHORIZATION", "bearer  k1 "}}))), sha256("k1"));
    EXPECT_EQ(std::get<sha256_digest>(readStatedKey(request({{"Connection", "Authorization"}, {"Authorization", "Bearer k1"}}))), sha256("k1"));
    EXPECT_TRUE(std::holds_alternative<no_key>(readStatedKey(request({{"X-Authorization", "Bearer k1"}}))));
    for (const auto *value : {"", "Bearer", "Bearer ", "k1", "Basic k1", "Bearer k1 k2", "Bearer k1,k2", "Bearer k1\tk2", "Bearerk1"}) {
        EXPECT_TRUE(isMalformed(readStatedKey(request({{"Authorization", value}})))) << value;
    }
    EXPECT_TRUE(isMalformed(readStatedKey(request({{"Authorization", "Bearer k1"}, {"X", "1"}, {"authorization", "Bearer k1"}}))));
}

// What a client states in a trailer, in other spellings or as a header of the connection is treated alike.
TEST(removeStatedIdentity, leavesNothingOfTheClientsKeyAndAccount)
{
    byte_queue input;
    input.append("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTENANT-ID: forged\r\nAuthorization:\tBearer secret-1\r\n"
                 "Transfer-Encoding: chunked\r\nTrailer: authorization, Tenant-Id\r\n\r\n1\r\nx\r\n0\r\nauthorization: Bearer secret-2\r\n"
                 "tenant-id: forged\r\n\r\n");
    request_reader reader({});
    ASSERT_EQ(reader.read(input), read_progress::complete);
    auto message = reader.take();
    EXPECT_TRUE(isMalformed(readStatedKey(message)));
    removeStatedIdentity(message);
    const auto bytes = serverRequest(message, milliseconds {500}, {"i-9"}, account_name {"a"});
    EXPECT_EQ(bytes.find("secret"), std::string::npos) << bytes;
    EXPECT_EQ(bytes.find("forged"), std::string::npos) << bytes;
    EXPECT_NE(bytes.find("\r\nTenant-Id: a\r\n"), std::string::npos) << bytes;
    message.headers.push_back({"Connection", "tenant-id"});
    EXPECT_NE(serverRequest(message, milliseconds {500}, {"i-9"}, account_name {"a"}).find("\r\nTenant-Id: a\r\n"), std::string::npos);
}

TEST(readServerAnswer, classifiesAnswers)
{
    const client_request_id id {"7"};
    const auto verdict = [&](int status, std::vector<http_header> headers) {
        return readServerAnswer({.status = status, .headers = std::move(headers)}, id).verdict;
    };
    EXPECT_EQ(verdict(200, {{"Server-Stamp", "s"}, {"Request-Id", "7"}}), answer_verdict::success);
    EXPECT_EQ(verdict(500, {{"Server-Stamp", "s"}}), answer_verdict::failure);
    EXPECT_EQ(verdict(503, {{"Not-Executed", "1"}}), answer_verdict::not_executed);
    EXPECT_EQ(verdict(421, {{"Instance-Id", "i-2"}}), answer_verdict::wrong_server);
    EXPECT_EQ(verdict(200, {{"Server-Stamp", "s"}, {"Request-Id", "8"}}), answer_verdict::foreign);
    EXPECT_EQ(verdict(503, {{"Not-Executed", "1"}, {"Request-Id", "8"}}), answer_verdict::foreign);
    EXPECT_EQ(verdict(200, {}), answer_verdict::unusable);
    EXPECT_EQ(verdict(200, {{"Server-Stamp", "s"}, {"Content-Encoding", "gzip"}}), answer_verdict::unusable);
    EXPECT_EQ(readServerAnswer({.status = 200, .headers = {{"Keep-Alive", "timeout=4, max=9"}}}, id).keepAlive, seconds {4});
}

TEST(answers, containPartHeadersAndRetryAfter)
{
    EXPECT_EQ(queryAnswer({{{"a"}, {"b"}}, 1, "records"}, client_connection::keep, false),
        "HTTP/1.1 200 OK\r\nPart-Stamps: a, b\r\nMissing-Parts: 1\r\nContent-Length: 7\r\n\r\nrecords");
    EXPECT_EQ(localAnswer(503, client_connection::close, milliseconds {250}),
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    const response_message answer {.status = 200, .reason = "OK", .headers = {{"Server-Stamp", "s"}, {"Keep-Alive", "timeout=4"}}, .body = "x"};
    EXPECT_EQ(relayedAnswer(answer, client_connection::keep, false), "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nx");
}

TEST(readServerNotice, readsWhatAnAnswerStatesAboutFurtherRequests)
{
    const auto notice = [](int status, std::vector<http_header> headers) {
        return readServerNotice({.status = status, .headers = std::move(headers)});
    };
    EXPECT_FALSE(notice(200, {{"Server-Stamp", "s"}}));
    EXPECT_TRUE(notice(200, {{"server-leaving", " 1 "}})->leaving);
    EXPECT_TRUE(notice(500, {{"Server-Leaving", "1"}})->leaving);
    EXPECT_FALSE(notice(200, {{"Server-Leaving", "0"}}));
    EXPECT_EQ(notice(503, {{"Retry-After", "2"}})->retryAfter, milliseconds {2000});
    EXPECT_EQ(notice(503, {{"Retry-After", "0.25"}})->retryAfter, milliseconds {250});
    EXPECT_EQ(notice(429, {{"Retry-After", "1"}})->retryAfter, milliseconds {1000});
    EXPECT_FALSE(notice(200, {{"Retry-After", "2"}})) << "only a refusal asks for a pause";
    EXPECT_FALSE(notice(421, {{"Server-Leaving", "1"}, {"Retry-After", "9"}})) << "another server has answered";
}

TEST(readServerNotice, boundsAndReportsInvalidRetryTimes)
{
    const auto notice = [](const std::string &value) {
        return readServerNotice({.status = 503, .headers = {{"Retry-After", value}}});
    };
    for (const auto *value : {"", "-1", "soon", "Sat, 05 Dec 2026 10:00:00 GMT", "1e999", "nan", "inf", "2 s"}) {
        EXPECT_FALSE(notice(value)->retryAfter) << value;
        EXPECT_TRUE(notice(value)->retryAfterMalformed) << value;
    }
    EXPECT_EQ(notice("1e300")->retryAfter, milliseconds {86400000});
}

// A deadline beyond the range of the clock made the deadline lie in the past.
TEST(readRequestHead, limitsTheStatedTimeLeft)
{
    const auto timeLeft = [](const std::string &value) {
        return *readRequestHead(request({{"Request-Id", "7"}, {"Host", "h"}, {"Deadline-Ms", value}}))->timeLeft;
    };
    EXPECT_EQ(timeLeft("9223372036854775807"), milliseconds {86400000});
    EXPECT_EQ(timeLeft("-9223372036854775807"), milliseconds {0});
}
