#pragma once

#include <Process/process.h>

namespace daisystile {

/// Phases of a graceful shutdown.
enum class drain_step {
    /// Readiness probes fail; the load balancer may still send new connections.
    serve,
    /// Accepts no connections, closes idle ones and finishes running requests.
    finish,
    exit,
};

struct drain_progress
{
    /// Time since SIGTERM.
    milliseconds passed {0};
    /// Time from SIGTERM to SIGKILL.
    milliseconds grace {0};
    std::size_t busyConnections = 0;
    /// Whether clients could connect before the SIGTERM.
    bool reachable = true;
};

drain_step drainStep(const drain_progress &progress);

} // namespace daisystile
