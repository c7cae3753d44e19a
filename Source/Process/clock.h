#pragma once

#include <chrono>

namespace daisystile {

/// Time that never jumps and goes on while the process is stopped; all decisions use it.
using monotonic_time = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using seconds = std::chrono::seconds;

/// Milliseconds from now until a time; never below zero.
inline milliseconds timeLeft(monotonic_time now, monotonic_time until)
{
    return until <= now ? milliseconds {0} : std::chrono::duration_cast<milliseconds>(until - now);
}

} // namespace daisystile
