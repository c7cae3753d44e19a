#pragma once

#include "peer_messages.h"

#include <optional>

namespace daisystile {

/// Everything that must hold at the moment a request is sent to a backend server.
struct send_conditions
{
    monotonic_time leaseUntil;
    monotonic_time deadline;
    /// Requests that would run on the server, this one included.
    std::size_t running = 0;
    std::size_t allowed = 0;
    /// The configuration in force lists the server for the service.
    bool listed = false;
    bool domainOut = false;
    bool draining = false;
    bool quarantined = false;
};

/// Called right before each send, with the clock read there; names the reason when the request must not go.
std::optional<attempt_failure> maySend(const send_conditions &conditions, monotonic_time now);

} // namespace daisystile
