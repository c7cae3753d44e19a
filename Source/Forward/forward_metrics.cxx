#include "forward_metrics.h"

namespace daisystile {

static metric_counter outcome(metrics &registry, const char *value)
{
    return registry.counter("daisystile_requests_total", "Requests of clients by outcome", {{"outcome", value}});
}

static metric_counter attempt(metrics &registry, const char *value)
{
    return registry.counter("daisystile_attempts_total", "Attempts at backend servers by purpose", {{"purpose", value}});
}

static metric_counter notice(metrics &registry, const char *value)
{
    return registry.counter("daisystile_server_notices_total", "Answers of backend servers that limit further requests", {{"notice", value}});
}

static metric_counter delegation(metrics &registry, const char *value)
{
    return registry.counter("daisystile_delegations_total", "Queries delegated to other daemons by outcome", {{"outcome", value}});
}

static metric_gauge servers(metrics &registry, const char *state)
{
    return registry.gauge("daisystile_backend_servers", "Backend servers known, by state", {{"state", state}});
}

forward_metrics::forward_metrics(metrics &registry)
    : complete(outcome(registry, "complete")),
      partial(outcome(registry, "partial")),
      refused(outcome(registry, "refused")),
      timedOut(outcome(registry, "timed_out")),
      failed(outcome(registry, "failed")),
      clientsGone(outcome(registry, "client_gone")),
      overQuota(registry.counter("daisystile_quota_refusals_total", "Requests refused because of their account's quota", {{"cause", "exceeded"}})),
      quotaUnknown(registry.counter("daisystile_quota_refusals_total", "Requests refused because of their account's quota", {{"cause", "unknown"}})),
      firstAttempts(attempt(registry, "first")),
      retries(attempt(registry, "retry")),
      hedges(attempt(registry, "hedge")),
      denied(registry.counter("daisystile_attempts_denied_total", "Attempts denied by the retry budget")),
      leavingNotices(notice(registry, "leaving")),
      retryAfterNotices(notice(registry, "retry_after")),
      limitNotices(notice(registry, "limit")),
      malformedNotices(notice(registry, "malformed")),
      serverEnds(registry.counter("daisystile_server_ends_total", "Attempts under which the backend server's process ended")),
      trials(registry.counter("daisystile_request_trials_total", "Attempts that decided whether a suspected request ends servers")),
      quarantineRefusals(registry.counter("daisystile_quarantine_refusals_total", "Requests refused because they are quarantined")),
      quarantined(registry.gauge("daisystile_quarantined_requests", "Requests in quarantine because backend servers ended under them")),
      latency(registry.histogram("daisystile_request_seconds", "Time from a request's last byte to its answer")),
      delegationsAnswered(delegation(registry, "answered")),
      delegationsDeclined(delegation(registry, "declined")),
      delegationsUnanswered(delegation(registry, "unanswered")),
      delegationsFailed(delegation(registry, "failed")),
      waiting(registry.gauge("daisystile_waiting_parts", "Parts of requests queued until a service has capacity")),
      configurationVersion(registry.gauge("daisystile_configuration_version", "Version of the configuration in force")),
      daemons(registry.gauge("daisystile_fleet_daemons", "Daemons that share the fleet's limits")),
      usableServers(servers(registry, "usable")),
      coldServers(servers(registry, "cold")),
      barredServers(servers(registry, "barred")),
      leavingServers(servers(registry, "leaving")),
      pausedServers(servers(registry, "paused")),
      limitedServers(servers(registry, "limited"))
{
}

} // namespace daisystile
