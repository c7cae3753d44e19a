#pragma once

#include "peer_messages.h"

#include <optional>

namespace daisystile {

/// The state that is checked immediately before a request is sent to a backend server.
struct send_conditions
{
    monotonic_time leaseUntil;
    monotonic_time deadline;
    /// Requests that would run on the server, this one included.
    std::size_t running = 0;
    std::size_t allowed = 0;
    /// The active configuration lists the server for the service.
    bool listed = false;
    bool domainOut = false;
    bool draining = false;
    bool quarantined = false;
};

/// Called immediately before each send with the current time. Returns the reason when the request must not be sent.
std::optional<attempt_failure> maySend(const send_conditions &conditions, monotonic_time now);

} // namespace daisystile
