#include "query_coordinators.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace daisystile {

namespace {

// In each failure domain the daemons with this share of the strongest one's strength run queries.
constexpr double minStrengthShare = 0.5;

bool takesQueries(const fleet_daemon &daemon)
{
    return daemon.queries.port != 0;
}

// Rendezvous hashing weighted by strength: the highest score wins, and each daemon has its own scores.
double preference(const fleet_daemon &self, const fleet_daemon &coordinator)
{
    constexpr double hashRange = 18446744073709551616.0;
    const double draw = (static_cast<double>(stableHash(self.id.value + "/" + coordinator.id.value)) + 1) / (hashRange + 2);
    return -coordinator.strength / std::log(draw);
}

} // namespace

query_coordinators chooseCoordinators(const std::vector<fleet_daemon> &fleet, const fleet_daemon &self)
{
    std::map<failure_domain_name, double> strongest;
    for (const auto &daemon : fleet) {
        if (takesQueries(daemon)) {
            strongest[daemon.domain] = std::max(strongest[daemon.domain], daemon.strength);
        }
    }
    query_coordinators chosen;
    chosen.includesSelf = !strongest.contains(self.domain);
    for (const auto &daemon : fleet) {
        if (!takesQueries(daemon) || daemon.strength < minStrengthShare * strongest[daemon.domain]) {
            continue;
        }
        chosen.includesSelf = chosen.includesSelf || daemon.id == self.id;
        chosen.byDomain[daemon.domain].push_back(daemon);
    }
    for (auto &[domain, daemons] : chosen.byDomain) {
        std::stable_sort(daemons.begin(), daemons.end(), [&](const auto &left, const auto &right) { return preference(self, left) > preference(self, right); });
    }
    return chosen;
}

// Greedy: the domain that covers most of the remaining parts comes first.
std::vector<remote_parts> groupRemoteParts(const part_locations &locations)
{
    std::set<part_index> remaining;
    for (part_index part = 0; part < locations.domainsOfPart.size(); ++part) {
        if (!locations.domainsOfPart[part].contains(locations.own)) {
            remaining.insert(part);
        }
    }
    std::vector<failure_domain_name> domains;
    for (const auto &domain : locations.coordinated) {
        if (domain != locations.own) {
            domains.push_back(domain);
        }
    }
    std::sort(domains.begin(), domains.end(), [&](const auto &left, const auto &right) {
        return stableHash(left.value, locations.seed) < stableHash(right.value, locations.seed);
    });
    std::vector<remote_parts> groups;
    while (!domains.empty()) {
        const auto covered = [&](const failure_domain_name &domain) {
            return std::count_if(remaining.begin(), remaining.end(), [&](auto part) { return locations.domainsOfPart[part].contains(domain); });
        };
        const auto best = std::max_element(domains.begin(), domains.end(), [&](const auto &left, const auto &right) { return covered(left) < covered(right); });
        if (covered(*best) == 0) {
            break;
        }
        remote_parts group {*best, {}};
        for (const auto part : remaining) {
            if (locations.domainsOfPart[part].contains(*best)) {
                group.parts.push_back(part);
            }
        }
        for (const auto part : group.parts) {
            remaining.erase(part);
        }
        groups.push_back(std::move(group));
        domains.erase(best);
    }
    return groups;
}

} // namespace daisystile
