#pragma once

#include "load_plan.h"

#include <deque>
#include <memory>
#include <optional>

namespace daisystile {

/// A scheduled request. Its time doesn't depend on the responses to earlier requests (open-loop load).
struct arrival
{
    microseconds at {0};
    std::size_t stream = 0;
    std::size_t target = 0;
    /// Replaces "{n}" in the body; for execute requests it is also part of the idempotency key.
    std::uint64_t number = 0;
    bool resend = false;
};

/// Poisson arrivals of all streams for one of the plan's threads; deterministic for a given plan.
class arrival_schedule
{
public:
    arrival_schedule(const load_plan &plan, unsigned thread);
    ~arrival_schedule();

    /// Returns the next arrival in time order, or nothing after the last one.
    std::optional<arrival> next();

private:
    struct stream_state;
    std::vector<std::unique_ptr<stream_state>> m_streams;
};

} // namespace daisystile
