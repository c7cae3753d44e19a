#include "delegate_health.h"

#include <algorithm>

namespace daisystile {

namespace {

// For example until it has the same version of the configuration.
constexpr milliseconds declinedDelay {250};
constexpr milliseconds initialFailureDelay {1000};
constexpr unsigned maxDoublings = 4;

} // namespace

void delegate_health::accepted()
{
    m_failures = 0;
}

void delegate_health::declined(monotonic_time now)
{
    m_failures = 0;
    m_usableFrom = std::max(m_usableFrom, now + declinedDelay);
}

void delegate_health::failed(monotonic_time now)
{
    m_usableFrom = std::max(m_usableFrom, now + initialFailureDelay * (1U << std::min(m_failures, maxDoublings)));
    m_failures += 1;
}

bool delegate_health::usable(monotonic_time now) const
{
    return now >= m_usableFrom;
}

} // namespace daisystile
