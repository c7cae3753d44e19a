#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

class quota_bucket_test : public testing::Test
{
protected:
    // A part of a half of 20 requests a second and a burst of 8, and 2 tokens beyond it.
    quota_lease lease(seconds until) const
    {
        return {{20, 8}, 0.5, 2, 0, m_start, m_start + until};
    }

    unsigned ask(const char *daemon, const quota_question &question, milliseconds at, seconds until)
    {
        return m_bucket.ask({daemon}, question, m_start + until, m_start + at).tokens;
    }

    quota_bucket m_bucket;
    monotonic_time m_start {seconds {100}};
};

} // namespace

TEST_F(quota_bucket_test, holdsItsPartOfTheBurstWithWhatDaemonsHold)
{
    m_bucket.setLease(lease(seconds {60}), m_start);
    EXPECT_EQ(ask("d1", {.wanted = 100}, milliseconds {0}, seconds {60}), 0U);
    EXPECT_EQ(ask("d1", {.wanted = 100}, milliseconds {50000}, seconds {60}), 6U);
    EXPECT_EQ(ask("d2", {.wanted = 100}, seconds {55}, seconds {60}), 0U);
    // Four were used; two are still held.
    EXPECT_EQ(ask("d1", {.held = 2}, milliseconds {55000}, seconds {60}), 0U);
    EXPECT_EQ(ask("d2", {.wanted = 100}, milliseconds {55200}, seconds {60}), 2U);
    EXPECT_DOUBLE_EQ(m_bucket.partHeld(m_start + seconds {56}), 2.0 / 8);
    m_bucket.giveBack({"d1"}, 5, m_start + milliseconds {55200});
    EXPECT_EQ(m_bucket.held(m_start + seconds {56}), 2U);
}

// What it had may be another keeper's by then.
TEST_F(quota_bucket_test, isEmptyWhenALeaseBegins)
{
    m_bucket.setLease(lease(seconds {6}), m_start);
    m_bucket.setLease(lease(seconds {60}), m_start + seconds {20});
    EXPECT_EQ(ask("d1", {.wanted = 100}, seconds {20}, seconds {60}), 0U);
    EXPECT_EQ(ask("d1", {.wanted = 100}, milliseconds {20100}, seconds {60}), 1U);
}

TEST_F(quota_bucket_test, givesNothingAfterItsLease)
{
    m_bucket.setLease(lease(seconds {6}), m_start);
    EXPECT_EQ(ask("d1", {.wanted = 100}, seconds {6}, seconds {6}), 0U);
}

// A daemon may renew only what the keeper still counts as held.
TEST(quota_wallet, dropsTokensThatExpireWhileItAsksAndThoseThatNobodyWaitsFor)
{
    const monotonic_time start {seconds {100}};
    quota_wallet wallet;
    for (int i = 0; i < 8; ++i) {
        wallet.arrived(start);
    }
    ASSERT_TRUE(wallet.ask(0, start));
    wallet.granted(2, start + seconds {1}, start);
    ASSERT_TRUE(wallet.ask(0, start + milliseconds {900}));
    wallet.granted(1, start + seconds {6}, start + milliseconds {1100});
    EXPECT_EQ(wallet.tokens(start + milliseconds {1100}), 1U);
    EXPECT_EQ(wallet.ask(3, start + milliseconds {1200})->waiting, 3U);
    wallet.granted(3, start + seconds {6}, start + milliseconds {1200});
    wallet.take(start + milliseconds {1200});
    wallet.served(1);
    EXPECT_EQ(wallet.tokens(start + milliseconds {1200}), 1U);
}
