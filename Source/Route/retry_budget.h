#pragma once

#include <Process/process.h>

#include <array>
#include <cstddef>

namespace daisystile {

/// This daemon's share of the limit on extra attempts (retries and hedges) at one service.
struct retry_budget_limits
{
    milliseconds window {10000};
    /// Extra attempts allowed in a window: this ratio of its requests, plus the slack.
    double ratio = 0.2;
    double slack = 10;
    /// Extra attempts that hedges leave for retries, because a retry can save a part and a hedge only reduces its latency.
    double hedgeReserve = 1;
};

/// Sliding-window limit on extra attempts at one service. A token bucket with the same limit would deny more attempts:
/// for a daemon that sends only a few requests a second, a bucket of a few tokens is often empty.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_limits &terms = {});

    void setTerms(const retry_budget_limits &terms);
    void addRequest(monotonic_time now);
    /// Counts one extra attempt and returns true if the limit allows it; otherwise counts nothing and returns false.
    bool take(monotonic_time now);
    bool takeForHedge(monotonic_time now);
    /// Number of extra attempts that are still allowed.
    double available(monotonic_time now);

private:
    // Ten intervals cover the window; the current, incomplete one is extra, so that no window holds more than was counted.
    static constexpr std::size_t intervals = 11;

    struct interval_counts
    {
        unsigned requests = 0;
        double extra = 0;
    };

    void advance(monotonic_time now);
    bool takeAboveReserve(double reserve, monotonic_time now);

    retry_budget_limits m_terms;
    std::array<interval_counts, intervals> m_counts {};
    std::size_t m_current = 0;
    monotonic_time m_currentSince;
};

} // namespace daisystile
