#include <Load/load.h>

#include <gmock/gmock.h>

using namespace daisystile;
using testing::UnorderedElementsAre;

static std::vector<std::string> errorsOf(const char *text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<std::string>> {
            BOOST_LEAF_CHECK(parseLoadPlan(text));
            return std::vector<std::string> {};
        },
        [](const load_plan_error &error) { return error.errors; },
        [] { return std::vector<std::string> {"other"}; });
}

TEST(load_plan, readsAllFields)
{
    const auto plan = parseLoadPlan(R"({"seed": 7, "threads": 2, "duration": 1.5, "targets": ["127.0.0.1:80"],
        "streams": [{"name": "a", "token": "t", "service": "s", "kind": "execute", "rate": 10, "body": "{}", "resend_share": 0.1, "timeout": 0.3, "targets": [0]}],
        "steps": [{"at": 1, "address": "127.0.0.1:81", "path": "/x", "body": "{}"}],
        "phases": [{"name": "p", "from": 0.5, "to": 1}], "records": ["127.0.0.1:82"]})");
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->duration, milliseconds {1500});
    EXPECT_EQ(plan->streams[0].kind, request_kind::execute);
    EXPECT_EQ(plan->streams[0].to, plan->duration);
    EXPECT_EQ(plan->streams[0].timeout, milliseconds {300});
    EXPECT_EQ(plan->steps[0].address.port, 81);
    EXPECT_EQ(plan->phases[0].from, milliseconds {500});
    EXPECT_EQ(plan->records[0].port, 82);
}

TEST(load_plan, reportsEveryErrorWithItsField)
{
    EXPECT_THAT(errorsOf("{"), UnorderedElementsAre("plan: not valid JSON"));
    EXPECT_THAT(
        errorsOf(
            R"({"duration": -1, "targets": ["x"], "speed": 1, "streams": [{"name": 3, "token": "", "service": "s", "rate": 1, "body": "", "targets": [4]}]})"),
        UnorderedElementsAre("duration: expected a non-negative number",
            "targets[0]: expected \"IP:PORT\"",
            "speed: unknown field",
            "streams[0].name: expected a string",
            "streams[0].targets[0]: no target with this index"));
    EXPECT_THAT(errorsOf("{}"), UnorderedElementsAre("duration: missing", "targets: expected at least one target"));
}
