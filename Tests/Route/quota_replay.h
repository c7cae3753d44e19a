#pragma once

#include <Route/route.h>

#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace daisystile {

/// Plays keepers, daemons that hold tokens, and the store's object on one clock, in steps of a millisecond. Questions take a step
/// each way, calls to the store several.
class quota_replay
{
public:
    struct layout
    {
        unsigned daemons = 79;
        unsigned domains = 4;
        account_quota quota {24, 6};
        double slack = 20;
        /// Requests per second of the account over all daemons, at a time.
        std::function<double(milliseconds)> rate;
        /// Share of the requests that reach the first daemon.
        double firstShare = 0;
        milliseconds length {80000};
        std::uint64_t seed = 1;
    };

    explicit quota_replay(layout terms)
        : m_terms(std::move(terms)),
          m_random(m_terms.seed)
    {
        for (unsigned domain = 0; domain < m_terms.domains; ++domain) {
            m_keepers.emplace_back(domain);
        }
        m_wallets.resize(m_terms.daemons);
    }

    void run()
    {
        for (m_time = milliseconds {0}; m_time < m_terms.length; m_time += milliseconds {1}) {
            for (auto &keeper : m_keepers) {
                step(keeper);
            }
            arrive();
            if (m_time.count() % surplusInterval == 0) {
                for (unsigned i = 0; i < m_wallets.size(); ++i) {
                    ask(i);
                }
            }
        }
    }

    unsigned asked = 0;
    /// When requests ran.
    std::vector<milliseconds> runs;
    unsigned writes = 0;

    /// The largest number of requests that ran in a window.
    std::size_t largestWindow() const
    {
        std::size_t largest = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < runs.size(); ++i) {
            while (runs[i] - runs[first] >= window) {
                ++first;
            }
            largest = std::max(largest, i - first + 1);
        }
        return largest;
    }

    double bound() const
    {
        return (m_terms.quota.rate * 5 + m_terms.quota.burst) * (1 + overage) + m_terms.slack;
    }

private:
    static constexpr milliseconds window {5000};
    static constexpr double overage = 0.1;
    static constexpr int surplusInterval = 50;
    static constexpr milliseconds storeTime {12};
    static constexpr milliseconds startTime {14000};
    static constexpr milliseconds wait {20};

    struct keeper_state
    {
        explicit keeper_state(unsigned number)
            : id {"k" + std::to_string(number)},
              claimer(id, {})
        {
        }

        daemon_id id;
        quota_claimer claimer;
        quota_bucket bucket;
        bool asked = false;
        milliseconds writeAt {-1};
        std::uint64_t readVersion = 0;
        monotonic_time slackSince;
        quota_claims next;
    };

    monotonic_time now() const
    {
        return monotonic_time {seconds {100}} + m_time;
    }

    double slackPart(const keeper_state &keeper) const
    {
        const auto &parts = keeper.claimer.inUse(now());
        const auto found = parts.find(slackAccount);
        return found == parts.end() ? 0 : found->second;
    }

    quota_lease leaseOf(const keeper_state &keeper) const
    {
        const auto &parts = keeper.claimer.inUse(now());
        const auto found = parts.find(m_account);
        const auto extra = extraOf(m_terms.slack, slackPart(keeper), window);
        return {handedOut(m_terms.quota, overage, window),
            found == parts.end() ? 0 : found->second,
            extra.tokens,
            extra.perSecond,
            keeper.slackSince,
            keeper.claimer.leaseEnd()};
    }

    // As quota_keeper states what it could use.
    void step(keeper_state &keeper)
    {
        if (m_time.count() % 100 == 0 || std::exchange(keeper.asked, false)) {
            const double forRate = 2 * keeper.bucket.demand(now()) / m_terms.quota.rate;
            const double forHolding = keeper.bucket.held(now()) / handedOut(m_terms.quota, overage, window).burst;
            keeper.claimer.want({{m_account, std::min(1.0, std::max(forRate, forHolding))}});
        }
        if (keeper.writeAt < milliseconds {0} && keeper.claimer.due(now())) {
            keeper.claimer.read(m_stored, 0, now());
            keeper.readVersion = m_version;
            if (keeper.claimer.begin(now())) {
                keeper.bucket.setLease(leaseOf(keeper), now());
                keeper.next = keeper.claimer.next(
                    {{m_account, keeper.bucket.partHeld(now())}, {slackAccount, slackPartOf(keeper.bucket.held(now()), m_terms.slack)}}, now());
                keeper.writeAt = m_time + storeTime;
            }
        } else if (keeper.writeAt == m_time) {
            keeper.writeAt = milliseconds {-1};
            if (keeper.readVersion == m_version) {
                m_stored = keeper.next;
                ++m_version;
                ++writes;
                const double before = slackPart(keeper);
                keeper.claimer.written(now());
                keeper.slackSince = slackPart(keeper) > before ? now() : keeper.slackSince;
                keeper.bucket.setLease(leaseOf(keeper), now());
            } else {
                keeper.claimer.notWritten();
            }
        }
    }

    void ask(unsigned daemon)
    {
        auto &wallet = m_wallets[daemon];
        auto &keeper = m_keepers[daemon % m_terms.domains];
        const daemon_id id {"d" + std::to_string(daemon)};
        const auto waiting = m_waiting.find(daemon);
        const auto back = wallet.surplus(now());
        keeper.bucket.giveBack(id, back, now());
        const auto question = wallet.ask(waiting == m_waiting.end() ? 0 : static_cast<unsigned>(waiting->second.size()), now());
        if (!question) {
            return;
        }
        const auto until = keeper.claimer.leaseEnd();
        const auto grant = keeper.bucket.ask(id, *question, until, now());
        keeper.asked = keeper.asked || grant.tokens < question->wanted;
        wallet.granted(grant.tokens, until, now());
    }

    // Daemons start before their clients do.
    void arrive()
    {
        if (m_time < startTime) {
            return;
        }
        std::poisson_distribution<unsigned> count(m_terms.rate(m_time) / 1000);
        for (auto left = count(m_random); left > 0; --left) {
            const bool toFirst = std::uniform_real_distribution<>()(m_random) < m_terms.firstShare;
            const auto daemon = toFirst ? 0U : std::uniform_int_distribution<unsigned>(0, m_terms.daemons - 1)(m_random);
            ++asked;
            m_wallets[daemon].arrived(now());
            m_waiting[daemon].push_back(m_time + wait);
            ask(daemon);
        }
        serveWaiting();
    }

    // As quota_client: a request takes a token within its wait, or is refused.
    void serveWaiting()
    {
        for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
            auto &[daemon, deadlines] = *entry;
            unsigned served = 0;
            while (!deadlines.empty() && m_wallets[daemon].take(now())) {
                deadlines.pop_front();
                runs.push_back(m_time);
                served += 1;
            }
            m_wallets[daemon].served(served);
            while (!deadlines.empty() && deadlines.front() <= m_time) {
                deadlines.pop_front();
            }
            if (!deadlines.empty() && m_time.count() % 20 == 0) {
                ask(daemon);
            }
            entry = deadlines.empty() ? m_waiting.erase(entry) : std::next(entry);
        }
    }

    layout m_terms;
    account_name m_account {"a"};
    std::mt19937_64 m_random;
    std::vector<keeper_state> m_keepers;
    std::vector<quota_wallet> m_wallets;
    std::map<unsigned, std::deque<milliseconds>> m_waiting;
    quota_claims m_stored;
    std::uint64_t m_version = 0;
    milliseconds m_time {0};
};

} // namespace daisystile
