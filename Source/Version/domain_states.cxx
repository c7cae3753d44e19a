#include "domain_states.h"

#include <algorithm>
#include <set>

namespace daisystile {

namespace {

constexpr std::size_t maxListedShards = 10;

using domain_set = std::set<failure_domain_name>;

domain_set outOfService(const std::vector<failure_domain> &states)
{
    domain_set out;
    for (const auto &state : states) {
        if (state.out) {
            out.insert(state.name);
        }
    }
    return out;
}

class servers_in_service
{
public:
    servers_in_service(const service &target, const domain_set &out)
    {
        for (const auto &server : target.servers) {
            if (out.count(server.domain) == 0) {
                m_servers.insert(server.id);
            }
        }
    }

    bool hasServers() const
    {
        return !m_servers.empty();
    }

    bool hasReplicaOf(const shard_placement &shard) const
    {
        return std::any_of(shard.replicas.begin(), shard.replicas.end(), [this](const backend_server_id &id) { return m_servers.count(id) > 0; });
    }

private:
    std::set<backend_server_id> m_servers;
};

std::string describeLostShards(const service &target, const servers_in_service &before, const servers_in_service &after)
{
    std::string list;
    std::size_t lost = 0;
    for (std::size_t shard = 0; shard < target.shards.size(); ++shard) {
        if (!before.hasReplicaOf(target.shards[shard]) || after.hasReplicaOf(target.shards[shard])) {
            continue;
        }
        lost += 1;
        if (lost <= maxListedShards) {
            list += (lost == 1 ? " " : ", ") + std::to_string(shard);
        }
    }
    if (lost == 0) {
        return "";
    }
    const auto rest = lost > maxListedShards ? " and " + std::to_string(lost - maxListedShards) + " more" : "";
    return "service " + target.name.value + ": no replica for shards" + list + rest;
}

} // namespace

std::variant<std::vector<failure_domain>, unknown_domain>
applyDomainChange(const std::vector<failure_domain> &states, const std::vector<failure_domain> &seen, const domain_state_change &change)
{
    std::map<failure_domain_name, failure_domain> all;
    for (const auto &state : states) {
        all[state.name] = state;
    }
    for (const auto &domain : seen) {
        all.try_emplace(domain.name, domain);
    }
    const auto target = all.find(change.domain);
    if (target == all.end()) {
        unknown_domain unknown;
        for (const auto &[name, state] : all) {
            unknown.known.push_back(name);
        }
        return unknown;
    }
    target->second.out = change.out;
    std::vector<failure_domain> result;
    result.reserve(all.size());
    for (auto &[name, state] : all) {
        result.push_back(std::move(state));
    }
    return result;
}

std::vector<std::string> describeLosses(const configuration &config, const std::vector<failure_domain> &before, const std::vector<failure_domain> &after)
{
    std::vector<std::string> losses;
    const auto outBefore = outOfService(before);
    const auto outAfter = outOfService(after);
    if (outAfter.size() == after.size() && outBefore.size() < after.size()) {
        losses.emplace_back("the last failure domain in service");
    }
    for (const auto &[name, target] : config.services) {
        const servers_in_service serversBefore(*target, outBefore);
        const servers_in_service serversAfter(*target, outAfter);
        if (serversBefore.hasServers() && !serversAfter.hasServers()) {
            losses.push_back("service " + name.value + ": no backend server");
            continue;
        }
        const auto shards = describeLostShards(*target, serversBefore, serversAfter);
        if (!shards.empty()) {
            losses.push_back(shards);
        }
    }
    return losses;
}

} // namespace daisystile
