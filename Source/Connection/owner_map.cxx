#include "owner_map.h"

#include <map>

namespace daisystile {

namespace {

class top_two
{
public:
    explicit top_two(const backend_server_id &server)
        : m_server(server)
    {
    }

    void add(const member &candidate)
    {
        const auto weight = stableHash(m_server.value, stableHash(candidate.id.value));
        if (!m_best || ranksHigher(weight, candidate, m_bestWeight, *m_best)) {
            m_second = m_best;
            m_secondWeight = m_bestWeight;
            m_best = &candidate;
            m_bestWeight = weight;
        } else if (!m_second || ranksHigher(weight, candidate, m_secondWeight, *m_second)) {
            m_second = &candidate;
            m_secondWeight = weight;
        }
    }

    const member *best() const
    {
        return m_best;
    }

    const member *second() const
    {
        return m_second;
    }

private:
    static bool ranksHigher(std::uint64_t weight, const member &candidate, std::uint64_t otherWeight, const member &other)
    {
        return weight != otherWeight ? weight > otherWeight : candidate.id < other.id;
    }

    const backend_server_id &m_server;
    const member *m_best = nullptr;
    const member *m_second = nullptr;
    std::uint64_t m_bestWeight = 0;
    std::uint64_t m_secondWeight = 0;
};

struct candidate_groups
{
    std::map<failure_domain_name, std::vector<const member *>> byDomain;
    std::map<region_name, std::vector<const member *>> byRegion;
};

} // namespace

static bool mayOwn(const member &candidate)
{
    return candidate.state == member_state::alive || candidate.state == member_state::suspect;
}

static candidate_groups groupCandidates(const std::vector<member> &members)
{
    candidate_groups groups;
    for (const auto &candidate : members) {
        if (mayOwn(candidate)) {
            groups.byDomain[candidate.domain].push_back(&candidate);
            groups.byRegion[candidate.region].push_back(&candidate);
        }
    }
    return groups;
}

static owner_choice chooseAmong(const backend_server_id &server, const failure_domain_name &domain, const region_name &region, const candidate_groups &groups)
{
    top_two inside(server);
    if (const auto found = groups.byDomain.find(domain); found != groups.byDomain.end()) {
        for (const auto *candidate : found->second) {
            inside.add(*candidate);
        }
    }
    if (inside.second()) {
        return {inside.best(), inside.second()};
    }
    top_two outside(server);
    if (const auto found = groups.byRegion.find(region); found != groups.byRegion.end()) {
        for (const auto *candidate : found->second) {
            if (candidate->domain != domain) {
                outside.add(*candidate);
            }
        }
    }
    if (inside.best()) {
        return {inside.best(), outside.best()};
    }
    return {outside.best(), outside.second()};
}

owner_choice chooseOwner(const backend_server_id &server, const failure_domain_name &domain, const region_name &region, const std::vector<member> &members)
{
    return chooseAmong(server, domain, region, groupCandidates(members));
}

const member *ownerOf(const backend_server &server, const region_name &region, const std::vector<member> &members)
{
    return chooseOwner(server.id, server.domain, region, members).owner;
}

owner_map::owner_map(std::shared_ptr<const fleet_view> view)
    : m_view(std::move(view))
{
    const auto groups = groupCandidates(m_view->members);
    for (const auto &[name, entry] : m_view->config->services) {
        for (const auto &server : entry->servers) {
            const auto domain = m_view->config->domains.find(server.domain);
            const auto region = domain == m_view->config->domains.end() ? region_name {} : domain->second.region;
            m_choices.emplace(server.id, chooseAmong(server.id, server.domain, region, groups));
        }
    }
}

owner_choice owner_map::find(const backend_server_id &server) const
{
    const auto found = m_choices.find(server);
    return found == m_choices.end() ? owner_choice {} : found->second;
}

const std::unordered_map<backend_server_id, owner_choice> &owner_map::choices() const
{
    return m_choices;
}

const member *owner_map::ownerOf(const backend_server_id &server) const
{
    return find(server).owner;
}

} // namespace daisystile
