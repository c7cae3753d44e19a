#pragma once

#include <Route/route.h>

#include <map>
#include <variant>
#include <vector>

namespace daisystile {

/// Follow the store directly.
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

/// Sources that failed, with the time until which they are not tried again.
using failed_sources = std::map<daemon_id, monotonic_time>;

/// The strongest daemon of each failure domain, the first of them by id, follows the store and the others follow that daemon.
/// While it fails they follow the second, and while that fails too, the store. The load on the store thus grows with the number of failure domains
/// rather than daemons.
relay_source chooseRelaySource(const std::vector<fleet_daemon> &fleet, const fleet_daemon &self, const failed_sources &failed, monotonic_time now);

/// Which of a source and its follower can reach the store.
struct source_reachability
{
    /// Whether this daemon follows the store directly, and whether its calls succeed.
    bool followsStore = false;
    bool reachesStore = false;
    bool sourceReachesStore = false;
};

/// False if the source can't reach the store while this daemon follows it successfully.
bool isUsable(const source_reachability &reach);

/// Decides when a follower reads a configuration that its source has announced.
class revision_request
{
public:
    /// True once for each announced revision that is newer than the known one.
    bool due(const store_revision &announced, const store_revision &known);
    /// A pending read was cancelled.
    void cancelled();

private:
    store_revision m_requested;
};

} // namespace daisystile
