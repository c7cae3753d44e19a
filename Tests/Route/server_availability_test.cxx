#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

TEST(server_availability, keepsTheLatestEndOfARequestedPause)
{
    const monotonic_time now {seconds {100}};
    server_availability server;
    EXPECT_TRUE(server.available(now));
    server.setRetryAfter(now, milliseconds {2000});
    server.setRetryAfter(now + milliseconds {100}, milliseconds {500});
    EXPECT_FALSE(server.available(now + milliseconds {1999}));
    EXPECT_TRUE(server.available(now + milliseconds {2000}));
    EXPECT_EQ(server.availableFrom(), now + milliseconds {2000});
}

TEST(server_availability, limitsAPauseOfHours)
{
    const monotonic_time now {seconds {100}};
    server_availability server;
    server.setRetryAfter(now, seconds {86400});
    EXPECT_FALSE(server.available(now + seconds {60}));
    EXPECT_TRUE(server.available(now + seconds {600}));
}

TEST(server_availability, neverEndsOnceTheServerIsLeaving)
{
    const monotonic_time now {seconds {100}};
    server_availability server;
    server.setLeaving();
    server.setRetryAfter(now, milliseconds {10});
    EXPECT_FALSE(server.available(now + seconds {86400}));
    EXPECT_EQ(server.availableFrom(), monotonic_time::max());
}
