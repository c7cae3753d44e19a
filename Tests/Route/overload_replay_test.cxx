#include <Route/route.h>

#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include <functional>
#include <queue>
#include <random>

using namespace daisystile;

namespace {

constexpr unsigned servers = 3;
constexpr unsigned slotsEach = 3;
constexpr milliseconds objective {120};
constexpr double meanWorkMs = 12;
constexpr double capacityPerSecond = servers * slotsEach * 1000 / meanWorkMs;
constexpr seconds length {20};
constexpr std::uint64_t seed = 7;

/// Number of requests and of answers in time, by urgency rank.
struct outcome
{
    std::map<unsigned, unsigned> asked;
    std::map<unsigned, unsigned> inTime;

    double perSecond() const
    {
        unsigned all = 0;
        for (const auto &[rank, count] : inTime) {
            all += count;
        }
        return all / std::chrono::duration<double>(length).count();
    }

    double share(unsigned rank) const
    {
        return static_cast<double>(inTime.at(rank)) / asked.at(rank);
    }
};

/// Simulates a daemon with three servers that have unbounded queues. Requests of ranks 1 and 2 arrive at random, in a ratio
/// of three to one.
class overload
{
public:
    overload(double factor, bool limited)
        : m_perSecond(capacityPerSecond * factor),
          m_limited(limited)
    {
        m_queue.setCapacity(m_service, {.slots = servers * slotsEach, .daemons = 1});
    }

    outcome simulate()
    {
        arrive();
        while (!m_events.empty() && m_now < m_begin + length) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        return m_outcome;
    }

private:
    struct timed_event
    {
        monotonic_time at;
        std::function<void()> run;

        bool operator<(const timed_event &other) const
        {
            return at > other.at;
        }
    };

    struct request
    {
        urgency_rank urgency;
        monotonic_time arrived;
    };

    struct server
    {
        unsigned running = 0;
        std::deque<std::uint64_t> queued;
    };

    void after(double delayMs, std::function<void()> run)
    {
        m_events.push({m_now + microseconds {static_cast<microseconds::rep>(delayMs * 1000)}, std::move(run)});
    }

    void arrive()
    {
        after(std::exponential_distribution<>(m_perSecond / 1000)(m_random), [this] { arrive(); });
        const auto number = m_next++;
        const urgency_rank urgency {std::bernoulli_distribution(0.75)(m_random) ? 1U : 2U};
        m_requests[number] = {urgency, m_now};
        m_outcome.asked[urgency.value] += 1;
        m_outcome.inTime.try_emplace(urgency.value, 0);
        if (!m_limited) {
            send(number);
            return;
        }
        const double draw = std::uniform_real_distribution<>()(m_random);
        if (!m_queue.forecastAdmission({{m_service}, 1, urgency, objective - milliseconds {static_cast<int>(meanWorkMs)}, draw}, m_now).inTime) {
            return;
        }
        if (m_queue.hasRoom(m_service, attempt_purpose::first, m_now)) {
            send(number);
        } else {
            m_queue.wait(m_service, urgency, {number, 0, m_now});
        }
    }

    void send(std::uint64_t number)
    {
        m_queue.started(m_service, number, m_now, objective);
        auto &target = *std::min_element(m_servers.begin(), m_servers.end(), [](const auto &left, const auto &right) {
            return left.running + left.queued.size() < right.running + right.queued.size();
        });
        if (target.running < slotsEach) {
            run(target, number);
        } else {
            target.queued.push_back(number);
        }
    }

    void run(server &on, std::uint64_t number)
    {
        on.running += 1;
        after(std::gamma_distribution<>(4, meanWorkMs / 4)(m_random), [this, &on, number] { end(on, number); });
    }

    void end(server &on, std::uint64_t number)
    {
        on.running -= 1;
        if (!on.queued.empty()) {
            const auto following = on.queued.front();
            on.queued.pop_front();
            run(on, following);
        }
        m_queue.ended(m_service, number, m_now);
        const auto &ended = m_requests.at(number);
        m_outcome.inTime[ended.urgency.value] += m_now - ended.arrived <= objective ? 1 : 0;
        while (const auto waiting = m_queue.next(m_service, m_now)) {
            if (m_now - m_requests.at(waiting->request).arrived < objective) {
                send(waiting->request);
            }
        }
    }

    service_name m_service {"shard"};
    double m_perSecond;
    bool m_limited;
    pcg32 m_random {seed};
    monotonic_time m_begin {seconds {100}};
    monotonic_time m_now = m_begin;
    std::priority_queue<timed_event> m_events;
    std::vector<server> m_servers = std::vector<server>(servers);
    std::map<std::uint64_t, request> m_requests;
    std::uint64_t m_next = 1;
    work_queue m_queue;
    outcome m_outcome;
};

} // namespace

// Offers up to three times the servers' capacity for 20 s. Without admission control, queueing delays would make nearly all
// answers late.
TEST(overload_replay, keepsGoodputUnderOverload)
{
    double best = 0;
    std::map<double, double> curve;
    for (const double factor : {0.8, 1.0, 1.5, 2.0, 3.0}) {
        curve[factor] = overload(factor, true).simulate().perSecond();
        best = std::max(best, curve[factor]);
        RecordProperty("in_time_per_s_at_" + std::to_string(static_cast<int>(factor * 10)), std::to_string(curve[factor]));
    }
    for (const double factor : {1.0, 1.5, 2.0, 3.0}) {
        EXPECT_GE(curve[factor], 0.9 * best) << factor;
    }
    EXPECT_GE(best, 0.85 * capacityPerSecond);
}

TEST(overload_replay, goodputCollapsesWithoutLimits)
{
    EXPECT_LT(overload(1.5, false).simulate().perSecond(), 0.2 * capacityPerSecond);
}

TEST(overload_replay, prefersUrgentRequestsWithoutStarvation)
{
    for (const double factor : {1.5, 2.0, 3.0}) {
        const auto result = overload(factor, true).simulate();
        EXPECT_GT(result.share(1), result.share(2)) << factor;
        const double all = result.perSecond() / (capacityPerSecond * factor);
        EXPECT_GE(result.share(2), all / 4) << factor;
    }
}
