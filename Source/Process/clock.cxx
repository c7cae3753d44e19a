#include "clock.h"

#include <ctime>

namespace daisystile {

// CLOCK_MONOTONIC stops while the host is suspended.
monotonic_time monotonicNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return monotonic_time {seconds {now.tv_sec} + std::chrono::nanoseconds {now.tv_nsec}};
}

} // namespace daisystile
