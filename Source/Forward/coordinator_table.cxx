#include "coordinator_table.h"

#include <algorithm>

namespace daisystile {

namespace {

std::set<failure_domain_name> domainsOf(const service_name &service, const routing_snapshot &view)
{
    std::set<failure_domain_name> domains;
    const auto found = view.servers->byService.find(service);
    if (found == view.servers->byService.end()) {
        return domains;
    }
    for (const auto &server : found->second) {
        if (view.mayServe(server)) {
            domains.insert(server.domain);
        }
    }
    return domains;
}

} // namespace

coordinator_table::coordinator_table(const entry_settings &settings)
    : m_self {settings.id, settings.domain, settings.peers, settings.queries, settings.strength}
{
}

void coordinator_table::update(const routing_snapshot &view)
{
    if (m_routes != view.routes) {
        m_routes = view.routes;
        groupRoutes(view);
    }
    m_all = {.count = view.sharingDaemons(), .countByDomain = {}, .limitShare = 1.0 / static_cast<double>(view.sharingDaemons())};
    for (const auto &daemon : view.fleet) {
        m_all.countByDomain[daemon.domain] += 1;
    }
    m_fleet = view.fleet;
    m_fleetKnown = view.fleetKnown;
    m_coordinators = chooseCoordinators(view.fleet, m_self);
    m_delegates.clear();
    if (!m_coordinators.includesSelf) {
        m_delegates = m_coordinators.byDomain.at(m_self.domain);
    }
    m_remoteParts.clear();
    m_senders.clear();
    for (const auto &shards : m_shardSets) {
        m_remoteParts.push_back(remotePartsOf(shards, view));
        for (const auto &service : shards) {
            m_senders.emplace(service, sendersIn(domainsOf(service, view)));
        }
    }
}

void coordinator_table::groupRoutes(const routing_snapshot &view)
{
    m_shardSets.clear();
    m_setOfRoute.clear();
    if (!view.routes) {
        return;
    }
    for (const auto &each : view.routes->configuration().routes) {
        const auto *target = std::get_if<shards_target>(&each.target);
        if (target == nullptr) {
            continue;
        }
        const auto known = std::find(m_shardSets.begin(), m_shardSets.end(), target->shards);
        m_setOfRoute[each.name] = static_cast<std::size_t>(known - m_shardSets.begin());
        if (known == m_shardSets.end()) {
            m_shardSets.push_back(target->shards);
        }
    }
}

std::vector<remote_parts> coordinator_table::remotePartsOf(const shard_set &shards, const routing_snapshot &view)
{
    part_locations locations {.own = m_self.domain, .domainsOfPart = {}, .coordinated = {}, .seed = stableHash(m_self.id.value)};
    for (const auto &service : shards) {
        locations.domainsOfPart.push_back(domainsOf(service, view));
    }
    for (const auto &[domain, daemons] : m_coordinators.byDomain) {
        locations.coordinated.insert(domain);
    }
    return groupRemoteParts(locations);
}

// The coordinators in the failure domains of a shard's servers send most of its requests. The others keep a part of the
// limits for hedges and for parts that they can't delegate.
service_senders coordinator_table::sendersIn(const std::set<failure_domain_name> &domains) const
{
    constexpr double coordinatorsShare = 0.75;
    if (!m_fleetKnown) {
        return m_all;
    }
    service_senders senders {.count = 0, .countByDomain = {}, .limitShare = 0};
    for (const auto &domain : domains) {
        const auto found = m_coordinators.byDomain.find(domain);
        if (found == m_coordinators.byDomain.end()) {
            return m_all;
        }
        senders.countByDomain[domain] = found->second.size();
        senders.count += found->second.size();
    }
    if (senders.count == 0 || senders.count >= m_all.count) {
        return m_all;
    }
    if (!m_coordinators.includesSelf || !domains.contains(m_self.domain)) {
        auto others = m_all;
        others.limitShare *= 1 - coordinatorsShare;
        others.count = m_coordinators.includesSelf ? coordinatorCount() : m_all.count;
        return others;
    }
    senders.limitShare = coordinatorsShare / static_cast<double>(senders.count);
    return senders;
}

std::size_t coordinator_table::coordinatorCount() const
{
    std::size_t count = 0;
    for (const auto &[domain, daemons] : m_coordinators.byDomain) {
        count += daemons.size();
    }
    return count;
}

const query_coordinators &coordinator_table::coordinators() const
{
    return m_coordinators;
}

const std::vector<fleet_daemon> &coordinator_table::delegates() const
{
    return m_delegates;
}

const std::vector<remote_parts> &coordinator_table::remoteParts(const route_table &routes, const route_name &route) const
{
    static const std::vector<remote_parts> none;
    const auto found = m_setOfRoute.find(route);
    return m_routes.get() != &routes || found == m_setOfRoute.end() ? none : m_remoteParts[found->second];
}

std::set<failure_domain_name> coordinator_table::remoteDomains() const
{
    std::set<failure_domain_name> domains;
    for (const auto &groups : m_remoteParts) {
        for (const auto &group : groups) {
            domains.insert(group.domain);
        }
    }
    return domains;
}

const service_senders &coordinator_table::sendersOf(const service_name &service) const
{
    const auto found = m_senders.find(service);
    return found == m_senders.end() ? m_all : found->second;
}

std::vector<daemon_id> coordinator_table::candidatesFor(const server_entry &server) const
{
    std::vector<daemon_id> candidates;
    const auto coordinators = m_coordinators.byDomain.find(server.domain);
    if (m_senders.contains(server.service) && coordinators != m_coordinators.byDomain.end()) {
        for (const auto &daemon : coordinators->second) {
            candidates.push_back(daemon.id);
        }
        return candidates;
    }
    const bool local = std::any_of(m_fleet.begin(), m_fleet.end(), [&](const auto &daemon) { return daemon.domain == server.domain; });
    for (const auto &daemon : m_fleet) {
        if (!local || daemon.domain == server.domain) {
            candidates.push_back(daemon.id);
        }
    }
    return candidates;
}

// Rendezvous hashing, so that a change of the fleet moves few ranks.
sender_position coordinator_table::positionAt(const server_entry &server) const
{
    const auto score = [&server](const daemon_id &daemon) {
        return std::pair(stableHash(daemon.value + "/" + server.id.value), daemon);
    };
    // Others may be in front of this daemon, so it sends rarely.
    if (!m_fleetKnown) {
        return {.rank = std::nullopt, .candidates = m_all.count, .allDaemons = m_all.count};
    }
    const auto candidates = candidatesFor(server);
    if (candidates.empty()) {
        return {};
    }
    sender_position position {.rank = std::nullopt, .candidates = candidates.size(), .allDaemons = std::max<std::size_t>(m_fleet.size(), 1)};
    if (std::find(candidates.begin(), candidates.end(), m_self.id) != candidates.end()) {
        const auto own = score(m_self.id);
        const auto before = std::count_if(candidates.begin(), candidates.end(), [&](const auto &daemon) { return score(daemon) > own; });
        position.rank = static_cast<std::size_t>(before);
    }
    return position;
}

} // namespace daisystile
