#include "Load/load_answer.h"
#include "Load/result_check.h"

#include <gtest/gtest.h>

using namespace daisystile;

static load_answer answerOf(request_kind kind, int status, const std::string &body)
{
    return classifyAnswer(kind, http_reply {.status = status, .body = body});
}

TEST(load_answer, readsCoverageAndSnapshot)
{
    const auto answer = answerOf(request_kind::query,
        200,
        R"({"request_id":"1","results":[{"shards":[9]}],"snapshot":"s1","coverage":{"shards":3,"covered":2,"missing":[{"shard":1,"reason":"timed_out"}]}})");
    EXPECT_EQ(answer.kind, answer_kind::partial);
    EXPECT_EQ(answer.shards, 3U);
    EXPECT_EQ(answer.covered, 2U);
    EXPECT_EQ(answer.snapshot, "s1");
    EXPECT_EQ(answer.missingReasons.at("timed_out"), 1U);
    EXPECT_FALSE(answer.incoherent);
}

TEST(load_answer, detectsCoverageThatDoesNotAddUp)
{
    for (const char *body : {R"({"coverage":{"shards":3,"covered":2,"missing":[]}})",
             R"({"coverage":{"shards":3,"covered":1,"missing":[{"shard":1,"reason":"shed"},{"shard":1,"reason":"shed"}]}})"}) {
        EXPECT_TRUE(answerOf(request_kind::query, 200, body).incoherent) << body;
    }
}

TEST(load_answer, classifiesOutcomes)
{
    struct expectation
    {
        request_kind kind;
        int status;
        const char *body;
        answer_kind expected;
    };
    for (const auto &row : {expectation {request_kind::query, 200, R"({"coverage":{"shards":2,"covered":2,"missing":[]}})", answer_kind::complete},
             expectation {request_kind::query, 200, "not JSON", answer_kind::failed},
             expectation {request_kind::query, 429, "{}", answer_kind::over_contract},
             expectation {request_kind::query, 503, R"({"outcome":"not_run"})", answer_kind::refused},
             expectation {request_kind::query, 401, "{}", answer_kind::client_error},
             expectation {request_kind::execute, 200, R"({"outcome":"done","result":{}})", answer_kind::done},
             expectation {request_kind::execute, 200, R"({"outcome":"not_run"})", answer_kind::not_run},
             expectation {request_kind::execute, 503, R"({"outcome":"not_run"})", answer_kind::not_run},
             expectation {request_kind::execute, 504, R"({"outcome":"unknown"})", answer_kind::unknown}}) {
        EXPECT_EQ(answerOf(row.kind, row.status, row.body).kind, row.expected) << row.status << row.body;
    }
    EXPECT_EQ(classifyAnswer(request_kind::query, http_failure {http_failure_kind::timed_out}).kind, answer_kind::timed_out);
    EXPECT_EQ(classifyAnswer(request_kind::query, http_failure {http_failure_kind::reset}).kind, answer_kind::failed);
}

TEST(load_answer, findsResultsOfAnotherQueryShardOrSnapshot)
{
    const std::string query = R"({"query":"x"})";
    const auto idOf = [](const std::string &text, const std::string &snapshot, std::uint64_t shard) {
        return "s" + std::to_string(shard) + "-" + std::to_string(stableHash(text + "/" + snapshot, shard * 3 + 1) % 1'000'000);
    };
    const auto falseResultsOf = [&](const std::string &first, const std::string &second) {
        load_answer answer {.kind = answer_kind::complete, .shards = 2, .covered = 2, .snapshot = "s1"};
        checkResults(query, R"({"results":[{"id":")" + first + R"("},{"id":")" + second + R"("}]})", answer);
        return answer.falseResults + (answer.incoherent ? 100 : 0);
    };
    const auto good = idOf(query, "s1", 0);
    EXPECT_EQ(falseResultsOf(good, idOf(query, "s1", 1)), 0U);
    EXPECT_EQ(falseResultsOf(good, idOf(query, "s2", 1)), 1U);
    EXPECT_EQ(falseResultsOf(good, idOf("{}", "s1", 1)), 1U);
    EXPECT_EQ(falseResultsOf(good, "s1" + good.substr(2)), 1U);
    EXPECT_EQ(falseResultsOf(good, good), 100U);
}
