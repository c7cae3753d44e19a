#include <Route/route.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace daisystile;

namespace {

constexpr milliseconds tick {10};
// The platform's bound: in each window, this many times what the limit allows, and some requests.
constexpr seconds window {4};
constexpr double overage = 1.5;
constexpr double slack = 5;

/// Daemons of several failure domains that all want to send to one limited server as often as they may.
class limited_server
{
public:
    limited_server(std::size_t daemons, std::size_t domains, unsigned seed)
        : m_random(seed),
          m_daemons(daemons)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            const bool local = i % domains == 0;
            m_daemons[i].setPosition(
                {.rank = local ? std::optional(i / domains) : std::nullopt, .candidates = (daemons + domains - 1) / domains, .allDaemons = daemons});
        }
    }

    void state(std::optional<double> limit)
    {
        m_limit = limit;
    }

    /// Each request is answered with the limit of the moment.
    void run(milliseconds length)
    {
        for (const auto end = m_now + length; m_now < end; m_now += tick) {
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                auto &daemon = m_daemons[i];
                if (m_frozen.contains(i) || !daemon.allows(m_now)) {
                    continue;
                }
                const bool knew = daemon.limited();
                daemon.sent(m_now, draw());
                daemon.stated(m_limit, m_now, draw());
                if (knew) {
                    m_arrivals.push_back(m_now);
                }
            }
        }
    }

    void freeze(std::size_t daemon)
    {
        m_frozen.insert(daemon);
    }

    void resume()
    {
        m_frozen.clear();
    }

    /// The most requests in any window, of daemons that knew of the limit.
    std::size_t most() const
    {
        std::size_t most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            const auto last = std::lower_bound(first, m_arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::size_t arrivals() const
    {
        return m_arrivals.size();
    }

    std::size_t knowing() const
    {
        return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [](const auto &daemon) { return daemon.limited(); }));
    }

private:
    double draw()
    {
        return std::uniform_real_distribution<>()(m_random);
    }

    std::mt19937 m_random;
    std::vector<server_limit> m_daemons;
    std::set<std::size_t> m_frozen;
    std::deque<monotonic_time> m_arrivals;
    std::optional<double> m_limit;
    monotonic_time m_now = monotonic_time(seconds {1000});
};

double allowed(double limit)
{
    return limit * overage * std::chrono::duration<double>(window).count() + slack;
}

} // namespace

TEST(server_limit, daemonsOfAnyFleetKeepItTogether)
{
    for (const std::size_t daemons : {1U, 8U, 65U, 295U, 1100U}) {
        for (const double limit : {0.5, 1.0, 2.9, 10.0, 43.7}) {
            limited_server server(daemons, 3, 7);
            server.state(limit);
            server.run(seconds {60});
            EXPECT_LE(static_cast<double>(server.most()), allowed(limit)) << daemons << " daemons, limit " << limit;
            EXPECT_GE(static_cast<double>(server.arrivals()), 0.6 * 60 * limit) << daemons << " daemons, limit " << limit;
        }
    }
}

TEST(server_limit, isKeptWhileItChangesEverySecond)
{
    for (const std::size_t daemons : {8U, 65U, 295U}) {
        limited_server server(daemons, 3, 11);
        double most = 0;
        for (int second = 0; second < 60; ++second) {
            const double limit = 2 + second % 5;
            most = std::max(most, limit);
            server.state(limit);
            server.run(seconds {1});
        }
        EXPECT_LE(static_cast<double>(server.most()), allowed(most)) << daemons;
    }
}

TEST(server_limit, frozenDaemonsDoNotSaveUpRequests)
{
    limited_server server(65, 3, 13);
    server.state(5);
    server.run(seconds {5});
    for (std::size_t i = 0; i < 60; ++i) {
        server.freeze(i);
    }
    server.run(seconds {20});
    server.resume();
    server.run(seconds {10});
    EXPECT_LE(static_cast<double>(server.most()), allowed(5));
}

// The daemons that send notice it with their next answer; the rest would otherwise need load of their own to notice it.
TEST(server_limit, endsWithTheFirstAnswerThatStatesNone)
{
    limited_server server(8, 3, 17);
    server.state(5);
    server.run(seconds {5});
    EXPECT_EQ(server.knowing(), 8U);
    server.state(std::nullopt);
    server.run(seconds {2});
    EXPECT_LE(server.knowing(), 5U) << "those of the server's failure domain know";
    server.run(seconds {30});
    EXPECT_EQ(server.knowing(), 0U);
}

TEST(server_limit, extremeValuesAreBounded)
{
    const monotonic_time now {seconds {100}};
    for (const double value : {0.0, 1e-300, 1e300}) {
        server_limit limit;
        limit.stated(value, now, 0.5);
        EXPECT_TRUE(limit.limited());
        EXPECT_LE(limit.availableFrom(now), now + seconds {60}) << value;
        EXPECT_TRUE(limit.allows(now + seconds {60})) << value;
    }
}
