#pragma once

#include <Route/route.h>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

namespace daisystile {

/// What the control thread publishes to the traffic thread; never changed once published.
struct routing_snapshot
{
    /// Null until a configuration is known.
    std::shared_ptr<const route_table> routes;
    std::shared_ptr<const server_catalog> servers = std::make_shared<server_catalog>();
    /// Failure domains whose backend servers get nothing more.
    std::set<failure_domain_name> evacuated;
    /// All daemons of the fleet, this one included.
    std::vector<fleet_daemon> fleet;

    /// Daemons that share the bounds; one while none is known.
    std::size_t sharingDaemons() const
    {
        return std::max<std::size_t>(fleet.size(), 1);
    }

    /// Neither leaving nor in a failure domain that was taken out.
    bool mayServe(const server_entry &server) const
    {
        return !server.draining && !evacuated.contains(server.domain);
    }
};

} // namespace daisystile
