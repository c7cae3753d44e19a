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

forward_metrics::forward_metrics(metrics &registry)
    : complete(outcome(registry, "complete")),
      partial(outcome(registry, "partial")),
      refused(outcome(registry, "refused")),
      timedOut(outcome(registry, "timed_out")),
      failed(outcome(registry, "failed")),
      clientsGone(outcome(registry, "client_gone")),
      firstAttempts(attempt(registry, "first")),
      retries(attempt(registry, "retry")),
      hedges(attempt(registry, "hedge")),
      denied(registry.counter("daisystile_attempts_denied_total", "Attempts that the extra load allowed did not cover")),
      latency(registry.histogram("daisystile_request_seconds", "Time from a request's last byte to its answer"))
{
}

} // namespace daisystile
