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
    /// Requests refused because their account's quota is used up, or because no keeper of quotas could be asked.
    metric_counter overQuota;
    metric_counter quotaUnknown;
    metric_counter firstAttempts;
    metric_counter retries;
    metric_counter hedges;
    metric_counter denied;
    /// Answers that state that their server is leaving, that ask for a pause, that begin to limit the requests of all daemons, or
    /// that state something of this that can't be read.
    metric_counter leavingNotices;
    metric_counter retryAfterNotices;
    metric_counter limitNotices;
    metric_counter malformedNotices;
    /// Backend servers whose process ended while it ran an attempt, for each such attempt.
    metric_counter serverEnds;
    /// Attempts that decided whether a suspected request ends servers, requests refused in quarantine, and requests that are in
    /// quarantine now.
    metric_counter trials;
    metric_counter quarantineRefusals;
    metric_gauge quarantined;
    metric_histogram latency;
    /// Queries delegated to other daemons, by outcome.
    metric_counter delegationsAnswered;
    metric_counter delegationsDeclined;
    metric_counter delegationsUnanswered;
    metric_counter delegationsFailed;
    /// Parts of requests that are queued until a service has capacity.
    metric_gauge waiting;
    metric_gauge configurationVersion;
    /// Daemons that share the fleet's limits, including this one.
    metric_gauge daemons;
    metric_gauge usableServers;
    metric_gauge coldServers;
    /// Servers that are draining, in an evacuated domain, leaving, or misdirected.
    metric_gauge barredServers;
    /// Servers that have stated in an answer that they are shutting down; among the barred.
    metric_gauge leavingServers;
    /// Servers that have asked this daemon for a pause.
    metric_gauge pausedServers;
    /// Servers that limit the requests of all daemons together.
    metric_gauge limitedServers;
};

} // namespace daisystile
