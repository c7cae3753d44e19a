#pragma once

#include "entry_settings.h"
#include "routing_snapshot.h"

#include <map>
#include <memory>
#include <vector>

namespace daisystile {

/// The daemons that send requests to a service's backend servers.
struct service_senders
{
    std::size_t count = 1;
    std::map<failure_domain_name, std::size_t> countByDomain;
    /// This daemon's share of the limits that the whole fleet must keep at the service, 0 to 1.
    double limitShare = 1;
};

/// Where queries run, for one routing snapshot.
class coordinator_table
{
public:
    explicit coordinator_table(const entry_settings &settings);

    void update(const routing_snapshot &view);

    const query_coordinators &coordinators() const;
    /// Coordinators of this daemon's failure domain to which it delegates its queries; empty if it runs them itself.
    const std::vector<fleet_daemon> &delegates() const;
    /// The parts of a route's queries that run in other failure domains; none for a route of another configuration than the
    /// current one, whose parts may be others.
    const std::vector<remote_parts> &remoteParts(const route_table &routes, const route_name &route) const;
    /// The failure domains in which parts of any query run, other than this daemon's.
    std::set<failure_domain_name> remoteDomains() const;
    const service_senders &sendersOf(const service_name &service) const;
    /// This daemon's position among those that send requests to a server while it limits them: the daemons of the server's
    /// failure domain, of a shard those that run queries; all daemons if there are none.
    sender_position positionAt(const server_entry &server) const;

private:
    using shard_set = std::vector<service_name>;

    void groupRoutes(const routing_snapshot &view);
    std::vector<remote_parts> remotePartsOf(const shard_set &shards, const routing_snapshot &view);
    std::size_t coordinatorCount() const;
    std::vector<daemon_id> candidatesFor(const server_entry &server) const;
    service_senders sendersIn(const std::set<failure_domain_name> &domains) const;

    fleet_daemon m_self;
    std::vector<fleet_daemon> m_fleet;
    bool m_fleetKnown = true;
    std::shared_ptr<const route_table> m_routes;
    query_coordinators m_coordinators;
    std::vector<fleet_daemon> m_delegates;
    // Many routes query the same shards.
    std::vector<shard_set> m_shardSets;
    std::map<route_name, std::size_t> m_setOfRoute;
    std::vector<std::vector<remote_parts>> m_remoteParts;
    std::map<service_name, service_senders> m_senders;
    // Of a service that is no shard: all daemons.
    service_senders m_all;
};

} // namespace daisystile
