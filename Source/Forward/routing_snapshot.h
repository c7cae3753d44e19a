#pragma once

#include <Route/route.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisystile {

/// What one daemon has shared of the requests that it suspects of ending backend servers.
struct shared_suspects
{
    daemon_id daemon;
    /// Differs for each change.
    std::string version;
    std::vector<suspect_record> records;
};

/// Number of daemons that a fleet has at most.
inline constexpr std::size_t largestFleet = 1100;

/// Immutable state that the control thread publishes to the traffic thread.
struct routing_snapshot
{
    /// Null until a configuration is known.
    std::shared_ptr<const route_table> routes;
    std::shared_ptr<const server_catalog> servers = std::make_shared<server_catalog>();
    /// Failure domains whose backend servers get no more requests.
    std::set<failure_domain_name> evacuated;
    /// All daemons of the fleet, including this one.
    std::vector<fleet_daemon> fleet;
    /// Whether the fleet was read. Until then there may be as many daemons as in the largest fleet.
    bool fleetKnown = true;
    /// What the daemons, including this one, have shared of suspected requests.
    std::shared_ptr<const std::vector<shared_suspects>> suspects = std::make_shared<std::vector<shared_suspects>>();
    /// Which versions of servers may get requests; null if versions are not told apart.
    std::shared_ptr<const version_rules> versions;
    /// Key that authenticates daemons to one another; empty until it is known.
    std::string peerKey;

    /// Number of daemons that share the fleet's limits; at least 1.
    std::size_t sharingDaemons() const
    {
        return std::max<std::size_t>(fleet.size(), fleetKnown ? 1 : largestFleet);
    }

    /// True if the server is neither draining nor in an evacuated failure domain, nor of a version that gets nothing.
    bool mayServe(const server_entry &server) const
    {
        return !server.draining && !evacuated.contains(server.domain) && versionMayServe(server);
    }

    bool versionMayServe(const server_entry &server) const
    {
        if (!versions) {
            return true;
        }
        const auto rule = versions->find(server.service);
        return rule == versions->end() || rule->second.mayServe(server.software);
    }
};

} // namespace daisystile
