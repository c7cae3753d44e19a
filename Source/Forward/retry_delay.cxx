#include "retry_delay.h"

#include <algorithm>

namespace daisystile {

milliseconds retryDelay(unsigned earlierFailures, milliseconds initial, milliseconds longest, std::mt19937_64 &random)
{
    constexpr unsigned maxDoublings = 8;
    const auto delay = std::min(initial * (1U << std::min(earlierFailures, maxDoublings)), longest);
    std::uniform_int_distribution<milliseconds::rep> spread(delay.count() / 2, delay.count());
    return milliseconds {spread(random)};
}

} // namespace daisystile
