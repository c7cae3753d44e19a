#include <Forward/delegation_client.h>

#include <gtest/gtest.h>

using namespace daisystile;

TEST(delegation_messages, carryARequestUnchanged)
{
    request_message message {.method = "POST", .target = "/a%2Fb?x=%20", .headers = {{"Host", "h"}, {"X", ""}}, .body = std::string(3, '\0')};
    auto query = makeDelegatedQuery(7, {3}, message);
    query.shards = {0, 5};
    const auto read = decodeDelegation(encodeDelegation(query)).value();
    const auto &received = std::get<delegated_query>(read);
    EXPECT_EQ(received.delegation, 7U);
    EXPECT_EQ(received.configurationVersion, 3U);
    EXPECT_EQ(received.shards, (std::vector<std::uint32_t> {0, 5}));
    const auto copy = toRequestMessage(received);
    EXPECT_EQ(copy.method, message.method);
    EXPECT_EQ(copy.target, message.target);
    EXPECT_EQ(copy.body, message.body);
    ASSERT_EQ(copy.headers.size(), 2U);
    EXPECT_EQ(copy.headers[1].name, "X");
}

TEST(delegation_messages, rejectTruncatedAndAlteredBytes)
{
    const auto bytes = encodeDelegation(delegated_answer {.delegation = 1, .shards = {2}, .signatures = {"s"}, .missingParts = 0, .records = "r"});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeDelegation(std::string_view(bytes).substr(0, length))) << length;
    }
    EXPECT_FALSE(decodeDelegation(bytes + "x"));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        auto altered = bytes;
        altered[i] = static_cast<char>(altered[i] ^ 0xff);
        // Must neither throw nor allocate what the altered length asks for.
        static_cast<void>(decodeDelegation(altered).has_value());
    }
}

// The client got whatever status the other daemon named.
TEST(delegated_failure, isAFailureOnlyWithTheStatusOfOne)
{
    for (const int status : {-200, 0, 99, 100, 200, 399, 600, 2000}) {
        EXPECT_FALSE(replyTo({1, status, 5})) << status;
    }
    for (const int status : {400, 503, 599}) {
        ASSERT_TRUE(replyTo({1, status, 5})) << status;
        EXPECT_EQ(replyTo({1, status, 5})->status, status);
    }
}
