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

/// Who reaches the store when a source says something.
struct source_reachability
{
    /// This daemon follows the store by own calls, and these succeed.
    bool followsStore = false;
    bool reachesStore = false;
    bool sourceReachesStore = false;
};

/// False for a source that is cut off from the store while this daemon is not.
bool isUsable(const source_reachability &reach);

/// Decides when a follower reads a configuration that its source has told of.
class revision_request
{
public:
    /// True once for each revision that is newer than the known one.
    bool due(std::uint64_t told, std::uint64_t known);
    /// A read under way was given up.
    void ended();

private:
    std::uint64_t m_asked = 0;
};

} // namespace daisystile
