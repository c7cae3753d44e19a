#include "plain_fleet.h"

#include <gtest/gtest.h>

#include <array>
#include <iostream>

using namespace daisystile;

namespace {

// The bounds of the platform's contract: in each window, this many times what the limit allows, and some requests.
constexpr seconds noticeTime {4};
constexpr seconds window {4};
constexpr double overage = 1.5;
constexpr double slack = 5;

constexpr milliseconds requestInterval {10};

/// Backend servers that name the number of requests a second that they take from all daemons together.
class limit_promises : public testing::Test
{
protected:
    monotonic_time now() const
    {
        return std::chrono::steady_clock::now();
    }

    void send(const std::string &path)
    {
        m_sent += 1;
        http_call call {.address = m_fleet->clientsAddress(m_sent % m_fleet->daemonCount()), .path = path, .timeout = seconds {3}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q" + std::to_string(m_sent)}, {"Deadline-Ms", "1400"}};
        m_fleet->control().start(std::move(call), [this](const http_result &result) { m_served += statusOf(result) == 200 ? 1 : 0; });
    }

    void run(seconds length, const std::string &path)
    {
        const auto begin = now();
        for (auto next = begin; now() - begin < length; next += requestInterval) {
            send(path);
            m_fleet->drainOutput();
            m_fleet->control().waitUntil([&] { return now() >= next; }, requestInterval);
        }
        m_fleet->control().waitUntil([] { return false; }, seconds {1});
    }

    std::size_t arrivals(std::size_t index, monotonic_time from, monotonic_time to) const
    {
        const auto times = m_fleet->servers()[index].process->runTimes();
        return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](auto at) { return at >= from && at < to; }));
    }

    void expectWithinLimit(std::size_t index, double limit, monotonic_time since, monotonic_time until)
    {
        std::size_t most = 0;
        for (auto from = since + noticeTime; from + window <= until; from += milliseconds {50}) {
            most = std::max(most, arrivals(index, from, from + window));
        }
        const double allowed = limit * overage * std::chrono::duration<double>(window).count() + slack;
        std::cout << "server " << index << " limit " << limit << ": at most " << most << " requests in a window, allowed " << allowed << std::endl;
        EXPECT_LE(static_cast<double>(most), allowed) << "server " << index;
    }

    std::unique_ptr<plain_fleet> m_fleet;
    std::size_t m_sent = 0;
    std::size_t m_served = 0;
};

} // namespace

TEST_F(limit_promises, allDaemonsTogetherKeepToTheLimitThatAServerNames)
{
    m_fleet = std::make_unique<plain_fleet>(plain_fleet::layout {.daemons = 6, .logbookServers = 6});
    ASSERT_TRUE(m_fleet->start());
    run(seconds {2}, "/read/x");
    constexpr std::array limits {1.0, 5.0, 1.0, 5.0};
    const auto since = now();
    for (std::size_t i = 0; i < limits.size(); ++i) {
        m_fleet->setExtraHeaders(i, "Server-Limit: " + std::to_string(limits[i]) + "\r\n");
    }
    const auto sentBefore = m_sent;
    const auto servedBefore = m_served;
    run(seconds {16}, "/read/x");
    const auto until = now();
    for (std::size_t i = 0; i < limits.size(); ++i) {
        expectWithinLimit(i, limits[i], since, until);
    }
    EXPECT_EQ(m_served - servedBefore, m_sent - sentBefore) << "the servers without a limit take the rest";
    // The servers take their part again soon after they name no limit.
    for (std::size_t i = 0; i < limits.size(); ++i) {
        m_fleet->setExtraHeaders(i, "");
    }
    run(seconds {10}, "/read/x");
    const auto end = now();
    std::size_t limitedBefore = 0;
    std::size_t all = 0;
    for (std::size_t i = 0; i < m_fleet->servers().size(); ++i) {
        const auto count = arrivals(i, end - window, end);
        limitedBefore += i < limits.size() ? count : 0;
        all += count;
    }
    EXPECT_GE(3 * limitedBefore, all);
}

TEST_F(limit_promises, queriesKeepToTheLimitsOfTheShardsServers)
{
    m_fleet = std::make_unique<plain_fleet>(plain_fleet::layout {.daemons = 6, .shards = 4});
    ASSERT_TRUE(m_fleet->start());
    run(seconds {2}, "/find/x");
    const auto since = now();
    // Two of three servers of each shard.
    for (std::size_t i = 0; i < m_fleet->servers().size(); ++i) {
        if (i % 3 != 0) {
            m_fleet->setExtraHeaders(i, "Server-Limit: 3.5\r\n");
        }
    }
    run(seconds {16}, "/find/x");
    const auto until = now();
    for (std::size_t i = 0; i < m_fleet->servers().size(); ++i) {
        if (i % 3 != 0) {
            expectWithinLimit(i, 3.5, since, until);
        }
    }
}
