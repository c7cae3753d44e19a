#pragma once

#include <Process/process.h>

#include <array>
#include <cstddef>

namespace daisystile {

/// This daemon's part of the bound on second attempts at one service.
struct retry_budget_limits
{
    milliseconds window {10000};
    /// Extra attempts allowed as a share of the requests of the window, and beyond that share.
    double ratio = 0.2;
    double slack = 10;
    /// What hedges leave for retries: a retry may save a part, a hedge only its time.
    double hedgeReserve = 1;
};

/// Allows second attempts as long as those of any window stay within the bound. A token bucket of the same bound would
/// deny more: where a daemon asks a service but a few times a second, a bucket of a few tokens is often empty.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_limits &terms = {});

    void setTerms(const retry_budget_limits &terms);
    void addRequest(monotonic_time now);
    /// False, and nothing counted, when the bound doesn't allow another.
    bool take(monotonic_time now);
    bool takeForHedge(monotonic_time now);
    /// How many more would be allowed.
    double left(monotonic_time now);

private:
    // The current interval is beyond the window, so that no window holds more than was counted.
    static constexpr std::size_t intervals = 11;

    struct interval_counts
    {
        unsigned requests = 0;
        double extra = 0;
    };

    void advance(monotonic_time now);
    bool takeKeeping(double reserve, monotonic_time now);

    retry_budget_limits m_terms;
    std::array<interval_counts, intervals> m_counts {};
    std::size_t m_current = 0;
    monotonic_time m_currentSince;
};

} // namespace daisystile
