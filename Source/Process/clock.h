#pragma once

#include <chrono>

namespace daisystile {

/// Monotonic time, unaffected by changes of the system clock; it advances while the process is stopped. All timeouts use it.
using monotonic_time = std::chrono::steady_clock::time_point;

/// The current time. It also advances while the host is suspended, so that a lease or deadline that has passed meanwhile is
/// not used afterwards.
monotonic_time monotonicNow();

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using seconds = std::chrono::seconds;

/// Remaining time until a deadline, in whole milliseconds; zero once it has passed.
inline milliseconds timeLeft(monotonic_time now, monotonic_time until)
{
    return until <= now ? milliseconds {0} : std::chrono::duration_cast<milliseconds>(until - now);
}

} // namespace daisystile
