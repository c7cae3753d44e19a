#include "retry_after.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds minRetryAfter {50};
// Shares of the time left, as divisors. Clients wait at most a third of it, and another daemon may serve them earlier than the
// forecast of this one.
constexpr int earliestShare = 8;
constexpr int forecastShare = 4;
constexpr int latestShare = 3;

} // namespace

milliseconds clientRetryAfter(milliseconds timeLeft, milliseconds forecastWait, double draw)
{
    const auto earliest = std::min(std::max(timeLeft / earliestShare, forecastWait), timeLeft / forecastShare);
    const auto latest = std::max(timeLeft / latestShare, earliest);
    const auto spread = std::chrono::duration_cast<milliseconds>((latest - earliest) * draw);
    return std::max(minRetryAfter, earliest + spread);
}

} // namespace daisystile
