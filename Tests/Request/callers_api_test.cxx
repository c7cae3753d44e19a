#include "query_fixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace daisystile;

namespace {

// The API and coordinator of one daemon; the test answers in place of the server owners.
class callers_api_test : public testing::Test
{
protected:
    callers_api_test()
    {
        auto terms = std::make_shared<contract>();
        terms->customer = {"sfax"};
        terms->tokenDigests = {sha256Hex("secret")};
        terms->services = {{"marshal-desk"}, {"logbook"}, {"gone"}};
        terms->maxWait = milliseconds {200};
        auto logbook = std::make_shared<service>();
        logbook->name = {"logbook"};
        logbook->kind = service_kind::execute;
        auto config = std::make_shared<configuration>();
        config->contracts[terms->customer] = terms;
        config->services[{"marshal-desk"}] = query_fixture::makeService(4, 2, "snap-1", 1);
        config->services[{"logbook"}] = logbook;
        m_view.config = config;
        m_view.members = {{.id = {"a"}, .incarnationNumber = {7}}, {.id = {"b"}, .incarnationNumber = {1}}};
        m_view.ready = true;
        publish();
    }

    void publish()
    {
        auto view = std::make_shared<const fleet_view>(m_view);
        m_coordinator.setView(view, std::make_shared<const owner_map>(view));
        m_api.setView(view);
    }

    void post(const std::string &path, const std::string &body, std::map<std::string, std::string> headers = {})
    {
        headers.try_emplace("authorization", "Bearer secret");
        m_api.handle({.method = "POST", .path = path, .headers = std::move(headers), .body = body}, [this](http_response response) {
            m_responses.push_back(std::move(response));
            m_loop.stop();
        });
    }

    int statusOf(const std::string &path, const std::string &body, std::map<std::string, std::string> headers = {})
    {
        m_responses.clear();
        post(path, body, std::move(headers));
        return m_responses.empty() ? 0 : m_responses.front().status;
    }

    static shard_answer answerTo(const search_batch &batch, const shard_attempt &attempt)
    {
        shard_answer answer;
        answer.query = batch.query;
        answer.shard = attempt.shard;
        answer.attempt = attempt.attempt;
        answer.server = attempt.server;
        answer.outcome = run_outcome::done;
        answer.snapshot = batch.snapshot;
        answer.mapVersion = batch.mapVersion;
        answer.body = R"({"results":[")" + attempt.server.value + "\"]}";
        return answer;
    }

    void receiveBatch(search_batch batch)
    {
        if (m_answerAtOnce) {
            for (const auto &attempt : batch.attempts) {
                m_coordinator.receive(answerTo(batch, attempt));
            }
        }
        m_batches.push_back(std::move(batch));
    }

    bool send(const daemon_id &to, const peer_message &message)
    {
        if (const auto *batch = std::get_if<search_batch>(&message)) {
            EXPECT_EQ(to.value, "b");
            receiveBatch(*batch);
        }
        m_cancels += std::holds_alternative<cancel_batch>(message) ? 1 : 0;
        return true;
    }

    reactor m_loop;
    metrics m_metrics;
    fleet_view m_view;
    std::vector<search_batch> m_batches;
    std::vector<http_response> m_responses;
    std::vector<completed_request> m_ended;
    int m_cancels = 0;
    int m_executes = 0;
    bool m_answerAtOnce = true;
    coordinator m_coordinator {m_loop,
        {{"a"}, {7}},
        {[this](const daemon_id &to, const peer_message &message) { return send(to, message); },
            [this](search_batch batch) { receiveBatch(std::move(batch)); },
            [this](const cancel_batch &) {
                m_cancels += 1;
            }},
        {.trials = trial_policy::none},
        m_metrics};
    callers_api m_api {m_loop,
        {[this](search_request request, search_callback done) { return m_coordinator.search(std::move(request), std::move(done)); },
            [this](const execute_submission &, const http_responder &respond) {
                m_executes += 1;
                respond({});
            },
            [] { return true; },
            [this] { return m_metrics.text(); },
            [this](const completed_request &request, const contract &) {
                m_ended.push_back(request);
            }},
        m_metrics};
};

} // namespace

TEST_F(callers_api_test, answersAQueryFromItsOwnAndAPeersServersInOneBatchEach)
{
    EXPECT_EQ(statusOf("/v1/services/marshal-desk/query", R"({"query":"late"})"), 200);
    const auto body = nlohmann::json::parse(m_responses.at(0).body);
    EXPECT_EQ(body["coverage"]["covered"], 4);
    EXPECT_EQ(body["results"].size(), 4U);
    EXPECT_EQ(body["snapshot"], "snap-1");
    EXPECT_LE(m_batches.size(), 2U);
    EXPECT_EQ(m_batches.at(0).body, R"({"query":"late"})");
    EXPECT_LE(m_batches.at(0).deadlineMs, 200U);
    EXPECT_EQ(m_coordinator.openQueries(), 0U);
}

TEST_F(callers_api_test, recordsEndedRequestsForTheBurnReportExceptCallerErrors)
{
    const std::string query = "/v1/services/marshal-desk/query";
    EXPECT_EQ(statusOf(query, "{}"), 400);
    EXPECT_EQ(statusOf(query, R"({"query":1})", {{"authorization", "Bearer wrong"}}), 401);
    EXPECT_TRUE(m_ended.empty());
    EXPECT_EQ(statusOf(query, R"({"query":1})"), 200);
    ASSERT_EQ(m_ended.size(), 1U);
    EXPECT_EQ(m_ended[0].customer.value, "sfax");
    EXPECT_EQ(m_ended[0].refusal, "");
    EXPECT_EQ(m_ended[0].covered, 4U);
    EXPECT_EQ(m_ended[0].firstAttempts, 4U);
}

TEST_F(callers_api_test, refusesInvalidRequestsAndNamesTheWrongField)
{
    const std::string query = "/v1/services/marshal-desk/query";
    const std::string good = R"({"query":1})";
    const std::vector<std::tuple<std::string, std::string, std::map<std::string, std::string>, int, std::string>> cases {
        {query, "{}", {}, 400, "query"},
        {query, good, {{"authorization", "Bearer wrong"}}, 401, "Authorization"},
        {query, good, {{"authorization", ""}}, 401, "Authorization"},
        {query, good, {{"request-timeout", "soon"}}, 400, "Request-Timeout"},
        {"/v1/services/fare-ledger/query", good, {}, 403, "fare-ledger"},
        {"/v1/services/gone/query", good, {}, 404, "gone"},
        {"/v1/services/logbook/query", good, {}, 404, "logbook"},
        {"/v1/services//query", good, {}, 404, "/v1/services//query"},
        {"/v1/other", good, {}, 404, "/v1/other"},
        {"/v1/services/logbook/execute", good, {}, 400, "Idempotency-Key"},
        {"/v1/services/logbook/execute", good, {{"idempotency-key", std::string(201, 'k')}}, 400, "Idempotency-Key"},
    };
    for (const auto &[path, body, headers, status, subject] : cases) {
        EXPECT_EQ(statusOf(path, body, headers), status) << path;
        const auto problem = nlohmann::json::parse(m_responses.at(0).body);
        EXPECT_NE(problem["detail"].get<std::string>().find(subject), std::string::npos) << problem;
        EXPECT_EQ(problem["outcome"], "not_run");
        EXPECT_EQ(m_responses.at(0).contentType, "application/problem+json");
    }
    EXPECT_TRUE(m_batches.empty());
    EXPECT_EQ(m_executes, 0);
    EXPECT_EQ(statusOf("/v1/services/logbook/execute", good, {{"idempotency-key", "k"}}), 200);
    m_view.ready = false;
    publish();
    EXPECT_EQ(statusOf(query, good), 503);
}

TEST_F(callers_api_test, executeRefusedBeforeItsJournalIsAskedIsUnknownSinceItsKeyMayHaveRun)
{
    const std::map<std::string, std::string> key {{"idempotency-key", "k"}};
    const std::map<std::string, std::string> stranger {{"idempotency-key", "k"}, {"authorization", "Bearer wrong"}};
    const auto outcomeOf = [this](const std::string &path, const std::map<std::string, std::string> &headers, int status) {
        EXPECT_EQ(statusOf(path, "{}", headers), status);
        return nlohmann::json::parse(m_responses.at(0).body)["outcome"].get<std::string>();
    };
    EXPECT_EQ(outcomeOf("/v1/services/logbook/execute", stranger, 401), "unknown");
    EXPECT_EQ(outcomeOf("/v1/services/gone/execute", key, 404), "unknown");
    m_view.ready = false;
    publish();
    EXPECT_EQ(outcomeOf("/v1/services/logbook/execute", key, 503), "unknown");
    EXPECT_EQ(outcomeOf("/v1/services/logbook/execute", {}, 503), "not_run");
    EXPECT_EQ(m_executes, 0);
}

TEST_F(callers_api_test, answersBeforeTheWaitEndsWhenNoOwnerDoes)
{
    m_answerAtOnce = false;
    const auto begin = m_loop.now();
    EXPECT_EQ(statusOf("/v1/services/marshal-desk/query", R"({"query":1})", {{"request-timeout", "50"}}), 0);
    m_loop.run();
    EXPECT_GE(m_loop.now() - begin, milliseconds {45});
    EXPECT_EQ(nlohmann::json::parse(m_responses.at(0).body)["coverage"]["covered"], 0);
    EXPECT_GT(m_cancels, 0);
    // The query has ended, so this answer is ignored.
    m_coordinator.receive(answerTo(m_batches.at(0), m_batches.at(0).attempts.at(0)));
    EXPECT_EQ(m_responses.size(), 1U);
}

TEST_F(callers_api_test, usesOtherReplicasWhenAPeerIsLost)
{
    m_answerAtOnce = false;
    EXPECT_EQ(statusOf("/v1/services/marshal-desk/query", R"({"query":1})"), 0);
    const auto before = m_batches.size();
    m_answerAtOnce = true;
    m_coordinator.peerLost({{"b"}, true});
    m_coordinator.peerLost({{"unknown"}, false});
    std::size_t lost = 0;
    for (std::size_t i = 0; i < before; ++i) {
        for (const auto &attempt : m_batches[i].attempts) {
            const auto answer = answerTo(m_batches[i], attempt);
            m_coordinator.receive(answer);
            lost += 1;
        }
    }
    EXPECT_EQ(lost, 4U);
    ASSERT_EQ(m_responses.size(), 1U);
    EXPECT_EQ(nlohmann::json::parse(m_responses.at(0).body)["coverage"]["covered"], 4);
}
