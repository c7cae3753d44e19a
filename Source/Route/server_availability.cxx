#include "server_availability.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds maxRetryAfter {300000};

} // namespace

void server_availability::setLeaving()
{
    m_leaving = true;
}

// Answers may arrive in another order than they were sent, so an earlier end of the time doesn't replace a later one.
void server_availability::setRetryAfter(monotonic_time now, milliseconds delay)
{
    m_retryAt = std::max(m_retryAt, now + std::min(delay, maxRetryAfter));
}

bool server_availability::leaving() const
{
    return m_leaving;
}

monotonic_time server_availability::availableFrom() const
{
    return m_leaving ? monotonic_time::max() : m_retryAt;
}

bool server_availability::available(monotonic_time now) const
{
    return now >= availableFrom();
}

} // namespace daisystile
