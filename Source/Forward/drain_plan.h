#pragma once

#include <Process/process.h>

namespace daisystile {

/// What a daemon that was told to end does now.
enum class drain_step {
    /// Not ready any more; the balancer may still send new connections.
    serve,
    /// Accepts nothing, closes idle connections, finishes what runs.
    finish,
    exit,
};

struct drain_progress
{
    /// Since the signal.
    milliseconds passed {0};
    /// From the signal to the kill.
    milliseconds grace {0};
    std::size_t busyConnections = 0;
};

drain_step drainStep(const drain_progress &progress);

} // namespace daisystile
