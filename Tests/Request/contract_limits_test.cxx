#include "query_fixture.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <map>

using namespace daisystile;

static constexpr std::uint32_t whole = 1'000'000;

namespace {

contract makeTerms(double rate, double burst, std::uint32_t concurrency)
{
    contract terms;
    terms.customer = {"sfax"};
    terms.ratePerSecond = rate;
    terms.burst = burst;
    terms.concurrency = concurrency;
    return terms;
}

// The share books and pools of a fleet, connected by messages that may be delayed or lost.
class share_fleet
{
public:
    share_fleet(std::size_t daemons, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            m_books.push_back({.homeShare = whole / static_cast<std::uint32_t>(daemons), .homeUsableFrom = m_now});
        }
        m_pools.resize(daemons);
    }

    void report(std::size_t from, std::size_t keeper, std::uint32_t demand)
    {
        const auto message = makeReport(m_books[from], {"sfax"}, nameOf(keeper), demand, m_times, m_now);
        if (m_random(100) < lossPercent) {
            return;
        }
        const auto arrives = m_now + microseconds {m_random(latestMessageUs)};
        m_reports.emplace(arrives, std::pair(std::pair(from, keeper), message));
    }

    void restart(std::size_t daemon)
    {
        m_books[daemon] = {.homeShare = m_books[daemon].homeShare, .homeUsableFrom = m_now + m_times.deposit + m_times.deposit / 50};
        m_pools[daemon] = {};
    }

    // Delivers messages in order of arrival and checks the sum of all shares after each one.
    void advance(microseconds time)
    {
        const auto end = m_now + time;
        while (true) {
            const auto report = m_reports.empty() ? monotonic_time::max() : m_reports.begin()->first;
            const auto grant = m_grants.empty() ? monotonic_time::max() : m_grants.begin()->first;
            if (std::min(report, grant) > end) {
                break;
            }
            m_now = std::min(report, grant);
            if (report <= grant) {
                deliverReport();
            } else {
                deliverGrant();
            }
            ASSERT_LE(sum(), whole);
        }
        m_now = end;
    }

    std::uint64_t sum()
    {
        std::uint64_t all = 0;
        for (auto &book : m_books) {
            all += usableShare(book, m_now);
        }
        return all;
    }

    std::uint32_t shareOf(std::size_t daemon)
    {
        return usableShare(m_books[daemon], m_now);
    }

    std::uint32_t lossPercent = 0;
    std::uint32_t latestMessageUs = 2000;

private:
    static daemon_id nameOf(std::size_t daemon)
    {
        return {std::to_string(daemon)};
    }

    void deliverReport()
    {
        const auto [route, message] = m_reports.begin()->second;
        m_reports.erase(m_reports.begin());
        const auto grant = grantLoan(m_pools[route.second], nameOf(route.first), message, m_times, m_now);
        m_grants.emplace(m_now + microseconds {m_random(latestMessageUs)}, std::pair(route, grant));
    }

    void deliverGrant()
    {
        const auto [route, grant] = m_grants.begin()->second;
        m_grants.erase(m_grants.begin());
        if (m_random(100) >= lossPercent) {
            applyGrant(m_books[route.first], grant, nameOf(route.second), m_now);
        }
    }

    template<class Message> using in_flight = std::multimap<monotonic_time, std::pair<std::pair<std::size_t, std::size_t>, Message>>;

    pcg32 m_random;
    monotonic_time m_now = testStart;
    share_times m_times;
    std::vector<contract_share> m_books;
    std::vector<share_pool> m_pools;
    in_flight<share_report> m_reports;
    in_flight<share_grant> m_grants;
};

} // namespace

TEST(contract_share, sharesFollowTheDemandToOneDaemonAndBack)
{
    share_fleet fleet(8, 1);
    const auto run = [&fleet](std::size_t busy) {
        for (int round = 0; round < 20; ++round) {
            for (std::size_t daemon = 0; daemon < 8; ++daemon) {
                fleet.report(daemon, 3, daemon == busy ? 980'000 : 0);
            }
            fleet.advance(milliseconds {500});
            EXPECT_LE(fleet.sum(), whole);
        }
        EXPECT_GT(fleet.shareOf(busy), 990'000U);
    };
    run(0);
    run(5);
}

TEST(contract_share, everyDaemonFallsBackToItsHomeShareWithoutItsKeeper)
{
    share_fleet fleet(4, 1);
    for (int round = 0; round < 10; ++round) {
        for (std::size_t daemon = 0; daemon < 4; ++daemon) {
            fleet.report(daemon, 3, daemon == 0 ? whole : 0);
        }
        fleet.advance(milliseconds {500});
    }
    EXPECT_GT(fleet.shareOf(0), 900'000U);
    fleet.advance(seconds {4});
    for (std::size_t daemon = 0; daemon < 4; ++daemon) {
        EXPECT_EQ(fleet.shareOf(daemon), whole / 4);
    }
}

class share_fuzz_seeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(share_fuzz_seeds, neverAddUpToMoreThanTheContract)
{
    static constexpr int steps = 100'000;
    static constexpr std::uint32_t daemons = 6;
    pcg32 random(GetParam());
    share_fleet fleet(daemons, GetParam());
    fleet.lossPercent = 10;
    fleet.latestMessageUs = 2'000'000;
    std::uint32_t keeper = 0;
    std::uint64_t most = 0;
    for (int i = 0; i < steps; ++i) {
        if (random(500) == 0) {
            keeper = random(daemons);
        }
        if (random(2000) == 0) {
            fleet.restart(random(daemons));
        }
        // Simulates a partition in which daemons disagree on the keeper.
        const auto reportsTo = random(10) == 0 ? random(daemons) : keeper;
        fleet.report(random(daemons), reportsTo, random(3) == 0 ? random(whole) : 0);
        fleet.advance(microseconds {random(100'000)});
        most = std::max(most, fleet.sum());
        ASSERT_LE(fleet.sum(), whole) << i;
    }
    EXPECT_GT(most, whole / 2);
}

INSTANTIATE_TEST_SUITE_P(seeds, share_fuzz_seeds, testing::Values(21, 22, 23));

TEST(contract_gate, holdsRateBurstAndConcurrency)
{
    contract_gate gate;
    auto now = testStart;
    const auto terms = makeTerms(100, 10, 50);
    recordArrival(gate, 0, now);
    admit(gate, terms, whole, now);
    std::uint32_t admitted = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += milliseconds {1};
        recordArrival(gate, 0, now);
        if (admit(gate, terms, whole, now) == gate_verdict::admitted) {
            admitted += 1;
            release(gate);
        }
    }
    EXPECT_LE(admitted, 1011U);
    EXPECT_GE(admitted, 990U);
    now += seconds {1};
    const auto narrow = makeTerms(1000, 100, 2);
    recordArrival(gate, 0, now);
    EXPECT_EQ(admit(gate, narrow, whole, now), gate_verdict::admitted);
    EXPECT_EQ(admit(gate, narrow, whole, now), gate_verdict::admitted);
    EXPECT_EQ(admit(gate, narrow, whole, now), gate_verdict::over_concurrency);
    EXPECT_EQ(admit(gate, narrow, 0, now), gate_verdict::over_concurrency);
}

TEST(contract_gate, asksForAShareThatHoldsWhatIsOpen)
{
    for (const std::uint32_t concurrency : {7U, 30U, 333U, 10'000U}) {
        const auto terms = makeTerms(1e9, 1e9, concurrency);
        for (std::uint32_t open = 1; open <= concurrency; open += 1 + open / 50) {
            contract_gate gate {.refilledAt = testStart - seconds {1}, .openRequests = open};
            const auto share = takeDemand(gate, terms, testStart);
            gate.openRequests = 0;
            for (std::uint32_t i = 0; i < open; ++i) {
                ASSERT_EQ(admit(gate, terms, share, testStart), gate_verdict::admitted) << i << " of " << open << " at " << concurrency;
            }
        }
    }
}

namespace {

// Several contract_limits on one reactor; messages are delivered without a network.
class limits_fleet : public testing::Test
{
protected:
    static constexpr std::size_t daemons = 4;

    void start(const contract &terms)
    {
        m_terms = std::make_shared<contract>(terms);
        auto config = std::make_shared<configuration>();
        config->contracts[terms.customer] = m_terms;
        auto view = std::make_shared<fleet_view>();
        view->config = config;
        for (std::size_t i = 0; i < daemons; ++i) {
            view->members.push_back({.id = {std::to_string(i)}});
        }
        for (std::size_t i = 0; i < daemons; ++i) {
            const auto send = [this, i](const daemon_id &to, const peer_message &message) {
                return deliver({std::to_string(i)}, to, message);
            };
            m_limits.push_back(std::make_unique<contract_limits>(m_loop, daemon_id {std::to_string(i)}, send, m_metrics));
            m_limits.back()->setView(view);
        }
    }

    bool deliver(const daemon_id &from, const daemon_id &to, const peer_message &message)
    {
        m_loop.post([this, from, to, message] {
            auto &target = *m_limits[std::stoul(to.value)];
            if (const auto *report = std::get_if<share_report>(&message)) {
                target.receive(from, *report);
            } else if (const auto *grant = std::get_if<share_grant>(&message)) {
                target.receive(from, *grant);
            }
        });
        return true;
    }

    // Sends one request per interval to one daemon and releases it when it is admitted.
    void offer(std::size_t daemon, milliseconds interval, int count)
    {
        if (count == 0) {
            m_loop.after(milliseconds {300}, [this] { m_loop.stop(); });
            return;
        }
        m_limits[daemon]->admit(m_terms, milliseconds {1000}, [this, daemon](const std::optional<admission_refusal> &refusal) {
            (refusal ? m_refused : m_admitted) += 1;
            if (!refusal) {
                m_loop.post([this, daemon] { m_limits[daemon]->release(m_terms->customer); });
            }
        });
        m_loop.after(interval, [this, daemon, interval, count] { offer(daemon, interval, count - 1); });
    }

    // Home shares are usable only after a deposit's lifetime, and are deposited with the next report.
    void waitForHomeShares()
    {
        m_loop.after(milliseconds {4500}, [this] { m_loop.stop(); });
        m_loop.run();
    }

    reactor m_loop;
    metrics m_metrics;
    std::shared_ptr<const contract> m_terms;
    std::vector<std::unique_ptr<contract_limits>> m_limits;
    int m_admitted = 0;
    int m_refused = 0;
};

} // namespace

TEST_F(limits_fleet, admitsACustomerWithinItsContractThroughASingleDaemon)
{
    start(makeTerms(400, 40, 40));
    waitForHomeShares();
    offer(1, milliseconds {3}, 600);
    m_loop.run();
    EXPECT_EQ(m_admitted + m_refused, 600);
    EXPECT_LE(m_refused, 6);
}

TEST_F(limits_fleet, admitsABurstAtAnIdleDaemon)
{
    start(makeTerms(10'000, 10'000, 10'000));
    waitForHomeShares();
    // Moves the burst away from the next regular report.
    m_loop.after(milliseconds {100}, [this] { m_loop.stop(); });
    m_loop.run();
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        for (int i = 0; i < 60; ++i) {
            m_limits[daemon]->admit(
                m_terms, milliseconds {1000}, [this](const std::optional<admission_refusal> &refusal) { (refusal ? m_refused : m_admitted) += 1; });
        }
    }
    m_loop.after(milliseconds {500}, [this] { m_loop.stop(); });
    m_loop.run();
    EXPECT_EQ(m_admitted, 60 * static_cast<int>(daemons));
    EXPECT_EQ(m_refused, 0);
}

TEST_F(limits_fleet, refusesWhatIsOverTheContract)
{
    start(makeTerms(50, 5, 40));
    waitForHomeShares();
    const auto begin = m_loop.now();
    offer(1, milliseconds {1}, 1000);
    m_loop.run();
    const double passed = std::chrono::duration<double>(m_loop.now() - begin).count();
    EXPECT_LE(m_admitted, 50 * passed + 5 + 4);
    EXPECT_GT(m_refused, 0);
}
