#include "Request/request.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

using namespace daisystile;

// Returns the parsed value, or "error" with the subject of the error.
template<class Parse> static std::string outcomeOfParse(Parse parse)
{
    return leaf::try_handle_all([&]() -> leaf::result<std::string> { return parse(); },
        [](const request_error &error) { return "error " + error.subject; },
        [] { return std::string("error"); });
}

static std::string parseBodyText(const std::string &body)
{
    return outcomeOfParse([&] { return parseQueryBody(body); });
}

TEST(callers_json, readsQueriesAndNamesTheWrongField)
{
    const std::vector<std::pair<std::string, std::string>> cases {
        {R"({"query":{"b":1,"a":"x"}})", R"({"query":{"a":"x","b":1}})"},
        {R"( { "query" : "late" } )", R"({"query":"late"})"},
        {R"({"query":null})", "error query"},
        {R"({})", "error query"},
        {R"({"query":1,"limit":2})", "error limit"},
        {R"({"query":1)", "error body"},
        {R"([1])", "error body"},
        {"", "error body"},
        {R"({"query":)" + std::string(100, '[') + std::string(100, ']') + "}", "error body nested too deep"},
        {R"({"query":")" + std::string(100, '[') + "\"}", R"({"query":")" + std::string(100, '[') + "\"}"},
    };
    for (const auto &[body, expected] : cases) {
        EXPECT_EQ(parseBodyText(body), expected) << body;
    }
}

TEST(callers_json, survivesAnyBytes)
{
    pcg32 random(7);
    const std::string good = R"({"query":{"a":[1,"\u00e9",null]}})";
    for (int i = 0; i < 20'000; ++i) {
        auto body = good;
        for (std::uint32_t change = 0; change <= random(3); ++change) {
            body[random(static_cast<std::uint32_t>(body.size()))] = static_cast<char>(random(256));
        }
        const auto text = parseBodyText(body);
        EXPECT_TRUE(text.starts_with("error") || nlohmann::json::accept(text)) << body;
    }
}

TEST(callers_json, readsHeaders)
{
    const auto timeout = [](const std::string &text) {
        return outcomeOfParse([&]() -> leaf::result<std::string> {
            BOOST_LEAF_AUTO(time, parseTimeout(text));
            return std::to_string(time.count());
        });
    };
    EXPECT_EQ(timeout("250"), "250");
    for (const char *bad : {"", "0", "-1", "1.5", "12x", "999999999999", "700000"}) {
        EXPECT_EQ(timeout(bad), "error Request-Timeout") << bad;
    }
    const auto bearer = [](std::optional<std::string> text) {
        return outcomeOfParse([&] { return parseBearer(text); });
    };
    EXPECT_EQ(bearer("Bearer secret"), "secret");
    for (const std::optional<std::string> &bad : {std::optional<std::string>(), {"Bearer "}, {"Basic x"}, {"secret"}}) {
        EXPECT_EQ(bearer(bad), "error Authorization");
    }
}

TEST(callers_json, statesTheTrueCoverage)
{
    search_reply reply;
    reply.query = {{"a"}, {7}, {9}};
    reply.snapshot = {"snap\"1"};
    reply.shards = 3;
    reply.covered = 2;
    reply.missing = {{{1}, attempt_failure::timed_out}};
    reply.results = "[1,2]";
    const auto body = nlohmann::json::parse(toResponse(reply).body);
    EXPECT_EQ(body["coverage"].dump(), R"({"covered":2,"missing":[{"reason":"timed_out","shard":1}],"shards":3})");
    EXPECT_EQ(body["results"].size(), 2U);
    EXPECT_EQ(body["snapshot"], "snap\"1");
    EXPECT_EQ(body["request_id"], "a-7-9");
    reply.outcome = query_outcome::too_little_coverage;
    const auto refused = toResponse(reply);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(nlohmann::json::parse(refused.body)["coverage"]["covered"], 2);
}
