#pragma once

#include "extra_load_budget.h"
#include "query_state.h"
#include <Process/process.h>

namespace daisystile {

/// Parameters of a new query.
struct query_plan
{
    query_reference query;
    monotonic_time startedAt;
    /// Time at which the caller stops waiting.
    monotonic_time callerDeadline;
    double minCoverage = 0;
    /// Extra attempts (hedges and retries) allowed per first attempt.
    double extraLoadShare = 0;
    std::optional<shard_index> canary;
};

/// Creates a query pinned to the current snapshot and shard map of the service.
query_state makeQuery(const query_plan &plan, const serving_state &serving);

/// Applies one event and appends the resulting actions. A finished query yields no actions.
void decide(query_state &state, serving_state &serving, extra_load_budget &budget, query_event event, monotonic_time now, query_actions &actions);

} // namespace daisystile
