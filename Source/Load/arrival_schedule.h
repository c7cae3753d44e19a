#pragma once

#include "load_plan.h"

#include <deque>
#include <memory>
#include <optional>

namespace daisystile {

/// One request as the schedule wants it, whether or not earlier ones have been answered.
struct arrival
{
    microseconds at {0};
    std::size_t stream = 0;
    std::size_t target = 0;
    /// Fills "{n}" in the body; for execute requests it is part of the key.
    std::uint64_t number = 0;
    bool resend = false;
};

/// Poisson arrivals of all streams for one of the plan's threads; the same plan gives the same arrivals.
class arrival_schedule
{
public:
    arrival_schedule(const load_plan &plan, unsigned thread);
    ~arrival_schedule();

    /// The next arrival in order of time; none after the last.
    std::optional<arrival> next();

private:
    struct stream_state;
    std::vector<std::unique_ptr<stream_state>> m_streams;
};

} // namespace daisystile
