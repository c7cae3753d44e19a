#include "Connection/connection.h"

#include <gtest/gtest.h>

using namespace daisystile;

static search_batch sampleBatch()
{
    search_batch batch;
    batch.query = {{"a"}, {7}, {9}};
    batch.service = {"marshal-desk"};
    batch.body = "{}";
    batch.attempts = {{{1}, {0}, {"s1"}}, {{2}, {1}, {"s2"}}};
    return batch;
}

TEST(peer_codec, roundTripsABatch)
{
    const auto decoded = decodePeerMessage(encodePeerMessage(sampleBatch()));
    ASSERT_TRUE(decoded);
    const auto batch = std::get<search_batch>(decoded.value());
    EXPECT_EQ(batch.query, sampleBatch().query);
    ASSERT_EQ(batch.attempts.size(), 2U);
    EXPECT_EQ(batch.attempts[1].server.value, "s2");
}

TEST(peer_codec, refusesEveryPrefixAndTrailingBytes)
{
    const auto bytes = encodePeerMessage(sampleBatch());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_FALSE(decodePeerMessage(std::string_view(bytes).substr(0, size))) << size;
    }
    EXPECT_FALSE(decodePeerMessage(bytes + "x"));
}
