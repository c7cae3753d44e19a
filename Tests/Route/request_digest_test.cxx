#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

TEST(request_digest, isEqualForEqualRequestsOnly)
{
    const auto one = digestOf("host", "GET", "/path", "body");
    EXPECT_EQ(one, digestOf("host", "GET", "/path", "body"));
    EXPECT_NE(one, digestOf("other", "GET", "/path", "body"));
    EXPECT_NE(one, digestOf("host", "PUT", "/path", "body"));
    EXPECT_NE(one, digestOf("host", "GET", "/path?", "body"));
    EXPECT_NE(one, digestOf("host", "GET", "/pat", "hbody"));
}

TEST(request_digest, textIsParsedBack)
{
    const auto digest = digestOf("host", "GET", "/path", {});
    EXPECT_EQ(parseRequestDigest(toString(digest)), digest);
    EXPECT_EQ(parseRequestDigest("0"), std::nullopt);
    EXPECT_EQ(parseRequestDigest(std::string(31, '0') + "x"), std::nullopt);
    EXPECT_EQ(parseRequestDigest(std::string(33, '0')), std::nullopt);
}
