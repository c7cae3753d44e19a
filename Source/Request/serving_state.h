#pragma once

#include "service_index.h"
#include <Process/process.h>

#include <Version/version.h>

#include <memory>

namespace daisystile {

/// A coordinator's state for one service, shared by its queries.
struct serving_state
{
    /// The newest catalogue entry.
    std::shared_ptr<const service_index> index;
    /// Snapshot reported by servers that is newer than the catalogue's; empty while the catalogue's snapshot is in use.
    snapshot_id reportedSnapshot;
    server_loads loads;
    recent_latencies latencies;
    hedge_policy hedging = hedge_policy::quantile;
};

/// Replaces the catalogue entry and discards the snapshot reported under the old one.
void updateCatalogue(serving_state &serving, std::shared_ptr<const service> catalogue);
/// Returns the snapshot to which a new query is pinned.
const snapshot_id &newestSnapshot(const serving_state &serving);
/// Returns the delay after which an unanswered attempt is hedged; zero disables hedging.
microseconds hedgeDelay(const serving_state &serving);
/// Returns true if a hedge on the given server is expected to pay off.
bool shouldHedge(const serving_state &serving, server_number server, microseconds delay, monotonic_time now);

} // namespace daisystile
