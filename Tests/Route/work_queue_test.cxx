#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

const service_name shard {"shard"};
const service_name logbook {"logbook"};

} // namespace

class work_queue_test : public testing::Test
{
protected:
    void start(const service_name &service, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            m_queue.started(service, m_nextAttempt++, m_now, milliseconds {400});
        }
    }

    bool hasRoom(attempt_purpose purpose = attempt_purpose::first) const
    {
        return m_queue.hasRoom(shard, purpose, m_now);
    }

    void wait(unsigned urgency, std::uint64_t request)
    {
        m_queue.wait(shard, {urgency}, {request, 0, m_now});
    }

    std::uint64_t next()
    {
        const auto part = m_queue.next(shard, m_now);
        return part ? part->request : 0;
    }

    work_queue m_queue;
    monotonic_time m_now {seconds {100}};
    attempt_id m_nextAttempt = 1;
};

TEST_F(work_queue_test, limitsAttemptsToAShareOfTheSlots)
{
    m_queue.setCapacity(shard, {.slots = 9, .daemons = 3});
    start(shard, 11);
    EXPECT_TRUE(hasRoom());
    start(shard, 1);
    EXPECT_FALSE(hasRoom());
    m_queue.ended(shard, 1, m_now);
    EXPECT_TRUE(hasRoom());
}

TEST_F(work_queue_test, allowsAFewAttemptsForSmallShares)
{
    m_queue.setCapacity(shard, {.slots = 12, .daemons = 65});
    start(shard, 2);
    EXPECT_TRUE(hasRoom());
}

// Servers accept requests and never answer: the hanging attempts must not block others forever.
TEST_F(work_queue_test, hangingAttemptStopsCountingAgainstTheLimit)
{
    m_queue.setCapacity(shard, {.slots = 1, .daemons = 1});
    start(shard, 4);
    EXPECT_FALSE(hasRoom());
    m_now += milliseconds {301};
    EXPECT_TRUE(hasRoom());
}

TEST_F(work_queue_test, startsMostUrgentThenOldest)
{
    m_queue.setCapacity(shard, {.slots = 100, .daemons = 1});
    wait(2, 21);
    m_now += milliseconds {1};
    wait(1, 11);
    m_now += milliseconds {1};
    wait(1, 12);
    EXPECT_EQ(next(), 11U);
    EXPECT_EQ(next(), 12U);
    EXPECT_EQ(next(), 21U);
    EXPECT_EQ(next(), 0U);
}

TEST_F(work_queue_test, reenqueuedPartKeepsItsPosition)
{
    m_queue.setCapacity(shard, {.slots = 100, .daemons = 1});
    const auto first = m_now;
    wait(1, 11);
    m_now += milliseconds {1};
    wait(1, 12);
    EXPECT_EQ(next(), 11U);
    m_queue.wait(shard, {1}, {11, 0, first});
    EXPECT_EQ(next(), 11U);
}

// Urgent requests alone exceed the capacity: less urgent ones must not starve.
TEST_F(work_queue_test, leastUrgentPartsDoNotStarve)
{
    m_queue.setCapacity(shard, {.slots = 100, .daemons = 1});
    for (std::uint64_t i = 0; i < 50; ++i) {
        wait(1, 100 + i);
        wait(2, 200 + i);
    }
    unsigned lessUrgent = 0;
    for (int i = 0; i < 20; ++i) {
        lessUrgent += next() >= 200 ? 1 : 0;
    }
    EXPECT_EQ(lessUrgent, 4U);
}

// All servers of one service hang: its queued parts must not block those of other services.
TEST_F(work_queue_test, queuedPartsOfOneServiceDoNotBlockAnother)
{
    m_queue.setCapacity(shard, {.slots = 1, .daemons = 1});
    m_queue.setCapacity(logbook, {.slots = 1, .daemons = 1});
    start(shard, 4);
    for (std::uint64_t i = 0; i < 50; ++i) {
        wait(0, 100 + i);
    }
    m_queue.wait(logbook, {2}, {7, 0, m_now});
    EXPECT_EQ(next(), 0U);
    const auto part = m_queue.next(logbook, m_now);
    ASSERT_TRUE(part);
    EXPECT_EQ(part->request, 7U);
}

TEST_F(work_queue_test, hedgeWaitsForQueuedParts)
{
    m_queue.setCapacity(shard, {.slots = 100, .daemons = 1});
    EXPECT_TRUE(hasRoom(attempt_purpose::hedge));
    wait(1, 11);
    EXPECT_FALSE(hasRoom(attempt_purpose::hedge));
    EXPECT_TRUE(hasRoom(attempt_purpose::retry));
}

TEST_F(work_queue_test, removesEndedRequests)
{
    m_queue.setCapacity(shard, {.slots = 100, .daemons = 1});
    wait(1, 11);
    wait(2, 12);
    EXPECT_EQ(m_queue.waiting(), 2U);
    m_queue.removeRequest(11);
    EXPECT_EQ(m_queue.waiting(), 1U);
    EXPECT_EQ(next(), 12U);
}

// One of two services is overloaded: a request that may miss it is admitted, one that needs both is refused at once.
TEST_F(work_queue_test, refusesRequestIfTooFewServicesCanAnswerInTime)
{
    admission_request terms {.services = {shard, logbook}, .minServices = 1, .urgency = {1}, .maxWait = milliseconds {50}};
    m_queue.setCapacity(shard, {.slots = 1, .daemons = 1});
    m_queue.setCapacity(logbook, {.slots = 1, .daemons = 1});
    EXPECT_TRUE(m_queue.forecastAdmission(terms, m_now).inTime);
    start(shard, 4);
    wait(1, 11);
    EXPECT_TRUE(m_queue.forecastAdmission(terms, m_now).inTime);
    terms.minServices = 2;
    const auto forecast = m_queue.forecastAdmission(terms, m_now);
    EXPECT_FALSE(forecast.inTime);
    EXPECT_GT(forecast.wait, milliseconds {50});
}

TEST_F(work_queue_test, forecastsWaitFromCompletionRate)
{
    const admission_request terms {.services = {shard}, .urgency = {1}, .maxWait = milliseconds {100}};
    m_queue.setCapacity(shard, {.slots = 25, .daemons = 1});
    start(shard, 100);
    for (attempt_id attempt = 1; attempt <= 100; ++attempt) {
        m_now += milliseconds {1};
        m_queue.ended(shard, attempt, m_now);
        start(shard, 1);
    }
    for (std::uint64_t i = 0; i < 19; ++i) {
        wait(1, 100 + i);
    }
    const auto forecast = m_queue.forecastAdmission(terms, m_now);
    EXPECT_NEAR(static_cast<double>(forecast.wait.count()), 20, 3) << "the twentieth at 1,000 a second";
}
