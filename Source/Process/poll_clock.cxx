#include "poll_clock.h"

#include <algorithm>

namespace daisystile {

namespace {

// A poll that takes longer than this has found no event ready and has waited.
constexpr milliseconds immediateReturn {1};

} // namespace

void poll_clock::polled(monotonic_time now, monotonic_time::duration maxWait)
{
    m_polledAt = now;
    m_maxWait = maxWait;
    m_polling = true;
}

// An event that the previous poll didn't return became ready after it. If the poll has waited, the event ended the wait,
// unless the process was paused meanwhile: then the wait is longer than it was meant to be.
void poll_clock::handling(monotonic_time now)
{
    if (!m_polling) {
        return;
    }
    m_polling = false;
    m_previousReturn = m_returnedAt;
    m_returnedAt = now;
    const auto waited = now - m_polledAt;
    const auto pause = std::max(waited - m_maxWait, monotonic_time::duration {0});
    const bool known = m_previousReturn != monotonic_time {};
    m_readySince = waited > immediateReturn || !known ? now - pause : m_previousReturn;
}

monotonic_time poll_clock::readySince() const
{
    return m_readySince;
}

} // namespace daisystile
