#pragma once

#include "service_index.h"
#include <Process/process.h>

#include <Version/version.h>

#include <memory>

namespace daisystile {

/// What a coordinator knows of one service, shared by its queries.
struct serving_state
{
    /// The newest catalogue entry.
    std::shared_ptr<const service_index> index;
    /// Learned from answers, newer than the catalogue's; empty when the catalogue's is held.
    snapshot_id heldSnapshot;
    server_loads loads;
    recent_latencies latencies;
    hedge_policy hedging = hedge_policy::quantile;
};

/// Takes in a new catalogue entry; what was learned of snapshots ends with the old one.
void adoptCatalogue(serving_state &serving, std::shared_ptr<const service> catalogue);
/// The snapshot that a new query is pinned to.
const snapshot_id &newestSnapshot(const serving_state &serving);
/// How long an attempt may take before a second one starts; zero means never.
microseconds hedgeDelay(const serving_state &serving);
/// True when a second attempt at the server is worth its load.
bool hedgeWorthwhile(const serving_state &serving, server_number server, microseconds delay, monotonic_time now);

} // namespace daisystile
