#pragma once

#include <Process/process.h>

namespace daisystile {

/// Metrics of the plain HTTP front end.
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
    /// Parts of requests that are queued until a service has capacity.
    metric_gauge waiting;
    metric_gauge configurationVersion;
    /// Daemons that share the fleet's limits, including this one.
    metric_gauge daemons;
    metric_gauge usableServers;
    metric_gauge coldServers;
    /// Servers that are draining, in an evacuated domain, or misdirected.
    metric_gauge barredServers;
};

} // namespace daisystile
