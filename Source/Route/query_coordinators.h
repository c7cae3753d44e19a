#pragma once

#include "forward_decision.h"
#include "server_entry.h"

#include <map>
#include <set>
#include <vector>

namespace daisystile {

/// The daemons of each failure domain that run queries, for themselves and for the others of their domain.
struct query_coordinators
{
    /// Whether this daemon is one of them.
    bool includesSelf = true;
    /// This daemon's order of preference. A domain in which no daemon takes queries from others is missing.
    std::map<failure_domain_name, std::vector<fleet_daemon>> byDomain;
};

/// In each failure domain the strongest daemons run the queries, so that few daemons hold connections to a backend server and
/// each sees much of it. Only daemons with an address for queries become coordinators.
query_coordinators chooseCoordinators(const std::vector<fleet_daemon> &fleet, const fleet_daemon &self);

/// Parts of a query that run in another failure domain.
struct remote_parts
{
    failure_domain_name domain;
    std::vector<part_index> parts;

    bool operator==(const remote_parts &) const = default;
};

/// Input of groupRemoteParts().
struct part_locations
{
    failure_domain_name own;
    /// The failure domains with a usable backend server, for each part.
    std::vector<std::set<failure_domain_name>> domainsOfPart;
    /// Failure domains with coordinators.
    std::set<failure_domain_name> coordinated;
    /// Varies the order in which daemons consider equally good domains.
    std::uint64_t seed = 0;
};

/// Assigns the parts without a backend server in the own failure domain to as few other domains as possible, so that their
/// answers are merged before they leave that domain. Parts that no coordinated domain has are left out.
std::vector<remote_parts> groupRemoteParts(const part_locations &locations);

} // namespace daisystile
