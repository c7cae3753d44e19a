#include <Connection/backend_protocol.h>

#include <gtest/gtest.h>

using namespace daisystile;

// A backend server's problem with a deeply nested title ended the daemon that read it.
TEST(backend_protocol, aDeeplyNestedTitleIsNoReason)
{
    const auto nested = std::string(200'000, '[') + std::string(200'000, ']');
    EXPECT_EQ(readUnavailableReason(R"({"title":)" + nested + "}"), attempt_failure::shed);
    EXPECT_EQ(readUnavailableReason(R"({"title":"draining"})"), attempt_failure::draining);
    EXPECT_EQ(readUnavailableReason(R"({"title":"deadline passed"})"), attempt_failure::too_late);
    for (const auto *body : {"", "[]", "{}", R"({"title":7})", R"({"title":"\ud800"})"}) {
        EXPECT_EQ(readUnavailableReason(body), attempt_failure::shed) << body;
    }
}
