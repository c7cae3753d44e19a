#pragma once

#include <Process/process.h>

#include <random>

namespace daisystile {

/// Delay before a failed call to the store is repeated, after this many failures in a row before it: exponential and bounded, with
/// jitter, because many daemons lose the store at the same time and must not all retry at the same time.
milliseconds retryDelay(unsigned earlierFailures, milliseconds initial, milliseconds longest, std::mt19937_64 &random);

} // namespace daisystile
