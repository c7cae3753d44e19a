#pragma once

#include <Process/process.h>

namespace daisystile {

/// When a refused client may return: not before the forecast time of free capacity, and spread by the draw, a random number
/// from 0 to 1, so that clients that were refused together don't return together.
milliseconds clientRetryAfter(milliseconds timeLeft, milliseconds forecastWait, double draw);

} // namespace daisystile
