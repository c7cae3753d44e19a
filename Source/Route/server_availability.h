#pragma once

#include <Process/process.h>

namespace daisystile {

/// When a backend server process takes requests from this daemon, according to its own answers.
class server_availability
{
public:
    /// The server is shutting down. This can't be taken back: a process that has started to leave doesn't return.
    void setLeaving();
    /// The server asks for no requests for this time. Limited, because a wrong value must not exclude a server for hours.
    void setRetryAfter(monotonic_time now, milliseconds delay);

    bool leaving() const;
    /// Time from which the server takes requests; max() if it is leaving.
    monotonic_time availableFrom() const;
    bool available(monotonic_time now) const;

private:
    bool m_leaving = false;
    monotonic_time m_retryAt;
};

} // namespace daisystile
