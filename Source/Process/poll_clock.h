#pragma once

#include "clock.h"

namespace daisystile {

/// Tells since when the events that an event loop handles can have been ready, from the times of its polls. A loop that was
/// busy or paused handles events that have waited for it; their senders count that time.
class poll_clock
{
public:
    /// The loop polls and will wait this long at most.
    void polled(monotonic_time now, monotonic_time::duration maxWait);
    /// The loop handles an event.
    void handling(monotonic_time now);
    /// Earliest time at which the event that is handled can have become ready.
    monotonic_time readySince() const;

private:
    monotonic_time m_polledAt;
    monotonic_time::duration m_maxWait {0};
    // When the latest poll and the one before it returned.
    monotonic_time m_returnedAt;
    monotonic_time m_previousReturn;
    monotonic_time m_readySince;
    bool m_polling = false;
};

} // namespace daisystile
