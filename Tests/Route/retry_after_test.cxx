#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

TEST(clientRetryAfter, spreadsClientsBetweenTheForecastAndAThirdOfTheirTime)
{
    EXPECT_EQ(clientRetryAfter(milliseconds {1200}, milliseconds {0}, 0), milliseconds {150});
    EXPECT_EQ(clientRetryAfter(milliseconds {1200}, milliseconds {0}, 1), milliseconds {400});
    EXPECT_EQ(clientRetryAfter(milliseconds {1200}, milliseconds {250}, 0), milliseconds {250});
    EXPECT_EQ(clientRetryAfter(milliseconds {1200}, milliseconds {5000}, 0), milliseconds {300});
    EXPECT_EQ(clientRetryAfter(milliseconds {0}, milliseconds {5000}, 0.5), milliseconds {50});
}
