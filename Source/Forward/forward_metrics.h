#pragma once

#include <Process/process.h>

namespace daisystile {

/// Figures of the plain front door.
struct forward_metrics
{
    explicit forward_metrics(metrics &registry);

    metric_counter complete;
    metric_counter partial;
    metric_counter refused;
    metric_counter timedOut;
    metric_counter failed;
    metric_counter clientsGone;
    metric_counter firstAttempts;
    metric_counter retries;
    metric_counter hedges;
    metric_counter denied;
    metric_histogram latency;
    /// Parts of requests that wait for room at a service.
    metric_gauge waiting;
    metric_gauge configurationVersion;
    /// Daemons that share the bounds, this one included.
    metric_gauge daemons;
    metric_gauge usableServers;
    metric_gauge coldServers;
    /// Draining, evacuated, or another server answered at the address.
    metric_gauge barredServers;
};

} // namespace daisystile
