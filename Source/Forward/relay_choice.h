#pragma once

#include <Route/route.h>

#include <map>
#include <variant>
#include <vector>

namespace daisystile {

/// Follow the store by own calls.
struct use_store
{
    bool operator==(const use_store &) const = default;
};
/// Follow a daemon that follows the store.
struct use_daemon
{
    fleet_daemon daemon;

    bool operator==(const use_daemon &) const = default;
};
using relay_source = std::variant<use_store, use_daemon>;

/// Daemons that failed as sources, with the time until which they are not tried again.
using failed_sources = std::map<daemon_id, monotonic_time>;

/// The first daemon of each failure domain follows the store, the others follow it; while it fails they follow the
/// second, and while that fails, the store. The store's calls so grow with the failure domains, not with the daemons.
relay_source chooseRelaySource(const std::vector<fleet_daemon> &fleet, const fleet_daemon &self, const failed_sources &failed, monotonic_time now);

} // namespace daisystile
