#pragma once

#include "extra_load_budget.h"
#include "query_state.h"
#include <Process/process.h>

namespace daisystile {

/// What a new query is made of.
struct query_plan
{
    query_reference query;
    monotonic_time startedAt;
    /// The caller's wait ends then.
    monotonic_time waitEnds;
    double leastCoverage = 0;
    /// Shares of first attempts that hedges and retries may add.
    double extraLoadShare = 0;
    std::optional<shard_index> canary;
};

/// Pins the service's snapshot and shard map.
query_state makeQuery(const query_plan &plan, const serving_state &serving);

/// Takes one event in and adds what is to be done to the actions; a finished query does nothing more.
void decide(query_state &state, serving_state &serving, extra_load_budget &budget, query_event event, monotonic_time now, query_actions &actions);

} // namespace daisystile
