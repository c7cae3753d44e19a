#include <Route/route.h>

#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include <functional>
#include <numeric>
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
constexpr std::uint64_t seeds = 8;

/// Number of requests and of answers in time, by urgency rank.
struct outcome
{
    std::map<unsigned, unsigned> asked;
    std::map<unsigned, unsigned> inTime;
    std::vector<unsigned> askedOfAccount;
    std::vector<unsigned> inTimeOfAccount;

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

    double accountShare(std::size_t account) const
    {
        return static_cast<double>(inTimeOfAccount[account]) / std::max(askedOfAccount[account], 1U);
    }

    double othersShare() const
    {
        const auto sumOfOthers = [](const auto &counts) {
            return std::accumulate(counts.begin() + 1, counts.end(), 0.0);
        };
        return sumOfOthers(inTimeOfAccount) / sumOfOthers(askedOfAccount);
    }

    /// Share of the requests of the worst-served tenth of the accounts, the first left out, that were answered in time.
    double worstTenth() const
    {
        std::vector<double> shares;
        for (std::size_t account = 1; account < askedOfAccount.size(); ++account) {
            shares.push_back(accountShare(account));
        }
        std::sort(shares.begin(), shares.end());
        const auto tenth = static_cast<std::ptrdiff_t>(shares.size() / 10);
        return std::accumulate(shares.begin(), shares.begin() + tenth, 0.0) / static_cast<double>(tenth);
    }
};

/// Accounts of which the first has the weight of many others and asks many times its usual.
struct account_load
{
    std::size_t accounts = 1;
    double firstWeight = 1;
    double firstTimes = 1;

    double weight(std::size_t account) const
    {
        return account == 0 ? firstWeight : 1;
    }

    std::vector<double> demand() const
    {
        std::vector<double> demand(accounts, 1);
        demand.front() = firstWeight * firstTimes;
        return demand;
    }

    /// Largest share of the others' requests that can be answered if each account gets at least its part by weight.
    double bestForOthers(double factor) const
    {
        const double others = static_cast<double>(accounts) - 1;
        const double each = factor * capacityPerSecond / (others + firstWeight * firstTimes);
        const double part = capacityPerSecond / (others + firstWeight);
        const double leftByFirst = (capacityPerSecond - each * firstWeight * firstTimes) / others;
        return std::min(1.0, std::max(part, leftByFirst) / each);
    }
};

/// Simulates a daemon with three servers that have unbounded queues. Requests of ranks 1 and 2 arrive at random, in a ratio
/// of three to one.
class overload
{
public:
    overload(double factor, bool limited, const account_load &accounts = {}, std::uint64_t randomSeed = seed)
        : m_perSecond(capacityPerSecond * factor),
          m_limited(limited),
          m_accounts(accounts),
          m_random(randomSeed)
    {
        m_outcome.askedOfAccount.resize(accounts.accounts);
        m_outcome.inTimeOfAccount.resize(accounts.accounts);
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
        std::size_t account = 0;
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
        const auto account = m_accounts.accounts == 1 ? 0 : m_pickAccount(m_random);
        m_requests[number] = {urgency, m_now, account};
        m_outcome.askedOfAccount[account] += 1;
        m_outcome.asked[urgency.value] += 1;
        m_outcome.inTime.try_emplace(urgency.value, 0);
        if (!m_limited) {
            send(number);
            return;
        }
        const double draw = std::uniform_real_distribution<>()(m_random);
        const account_demand demand {account_name {std::to_string(account)}, m_accounts.weight(account), meanWorkMs};
        const admission_request terms {{m_service}, 1, urgency, objective - milliseconds {static_cast<int>(meanWorkMs)}, draw, demand};
        m_queue.addDemand(terms, m_now);
        if (!m_queue.forecastAdmission(terms, m_now).inTime) {
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
        const unsigned inTime = m_now - ended.arrived <= objective ? 1 : 0;
        m_outcome.inTime[ended.urgency.value] += inTime;
        m_outcome.inTimeOfAccount[ended.account] += inTime;
        while (const auto waiting = m_queue.next(m_service, m_now)) {
            if (m_now - m_requests.at(waiting->request).arrived < objective) {
                send(waiting->request);
            }
        }
    }

    service_name m_service {"shard"};
    double m_perSecond;
    bool m_limited;
    account_load m_accounts;
    std::vector<double> m_demand = m_accounts.demand();
    std::discrete_distribution<std::size_t> m_pickAccount {m_demand.begin(), m_demand.end()};
    pcg32 m_random;
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

// One of 82 accounts asks six times its usual. The others must come close to what the best order could give them: all that is
// left by the account beyond its share, whether it has the weight of one or of twenty.
TEST(overload_replay, servesAccountsWithinTheirShareWhileOneAsksManyTimesItsUsual)
{
    for (const double firstWeight : {1.0, 20.0}) {
        for (const double factor : {1.0, 1.5}) {
            const account_load load {.accounts = 82, .firstWeight = firstWeight, .firstTimes = 6};
            double worst = 0;
            double others = 0;
            double all = 0;
            for (std::uint64_t each = 0; each < seeds; ++each) {
                const auto result = overload(factor, true, load, seed + each).simulate();
                worst += result.worstTenth() / seeds;
                others += result.othersShare() / seeds;
                all += result.perSecond() / capacityPerSecond / seeds;
            }
            const auto name = std::to_string(static_cast<int>(firstWeight)) + "_at_" + std::to_string(static_cast<int>(factor * 10));
            RecordProperty("worst_tenth_" + name, std::to_string(worst));
            RecordProperty("others_" + name, std::to_string(others));
            RecordProperty("in_time_to_best_" + name, std::to_string(all));
            EXPECT_GE(all, 0.9) << name;
            EXPECT_GE(others, (firstWeight > 1 ? 0.9 : 0.95) * load.bestForOthers(factor)) << name;
            EXPECT_GE(worst, 0.8 * load.bestForOthers(factor)) << name;
        }
    }
}
