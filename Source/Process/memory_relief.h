#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisystile {

/// A connection that holds memory and may be closed to free it.
struct memory_holder
{
    std::uint64_t connection = 0;
    std::size_t bytes = 0;
    /// Since when it holds memory for its current request or answer.
    monotonic_time since;
    /// When the client last sent or took a byte.
    monotonic_time progressAt;
};

/// The connections to close so that at least the excess is freed, as far as possible: first those that hold most for longest with
/// least progress. One is always left, so that a client alone is served whatever the budget.
std::vector<std::uint64_t> connectionsToClose(std::vector<memory_holder> holders, std::size_t excessBytes, monotonic_time now);

/// The connections to close so that new ones find room: those without progress for longest, and at least for this time. At most
/// `count`.
std::vector<std::uint64_t> stalledConnections(std::vector<memory_holder> holders, std::size_t count, milliseconds minStall, monotonic_time now);

/// Whether a request that was read may start. While the budget is exceeded it may only if no other one runs.
bool mayStartRequest(bool budgetExceeded, std::size_t runningRequests);

} // namespace daisystile
