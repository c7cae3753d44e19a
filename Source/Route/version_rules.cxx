#include "version_rules.h"

#include <algorithm>
#include <tuple>

namespace daisystile {

rollout_shares rolloutShares(double exposureShare)
{
    constexpr double trialPart = 0.6;
    constexpr double halfShare = 0.25;
    constexpr double maxHalfTime = 0.12;
    constexpr double halfTimePart = 1.2;
    return {trialPart * exposureShare, std::max(halfShare, trialPart * exposureShare), std::min(maxHalfTime, halfTimePart * exposureShare)};
}

bool version_rule::mayServe(const software_version &version) const
{
    if (!rollout || rollout->verdict == rollout_verdict::rolled_back) {
        return version == base;
    }
    return version == rollout->target || (version == base && rollout->verdict == rollout_verdict::running);
}

const software_version &version_rule::main() const
{
    const bool moved =
        rollout && (rollout->verdict == rollout_verdict::succeeded || (rollout->verdict == rollout_verdict::running && rollout->stage == rollout_stage::all));
    return moved ? rollout->target : base;
}

double version_rule::targetShare(double exposureShare, bool fresh) const
{
    if (!rollout || rollout->verdict == rollout_verdict::rolled_back) {
        return 0;
    }
    if (main() == rollout->target) {
        return 1;
    }
    const auto shares = rolloutShares(exposureShare);
    return rollout->stage == rollout_stage::half && fresh ? shares.half : shares.trial;
}

software_version firstVersion(const std::vector<server_entry> &servers)
{
    const auto earlier = [](const server_entry &a, const server_entry &b) {
        return std::tie(a.born, a.software, a.id) < std::tie(b.born, b.software, b.id);
    };
    return std::min_element(servers.begin(), servers.end(), earlier)->software;
}

std::map<service_name, software_version>
baseVersions(const server_catalog &servers, const std::map<service_name, software_version> &recorded, const std::map<service_name, rollout_status> &rollouts)
{
    auto bases = recorded;
    for (const auto &[service, entries] : servers.byService) {
        const auto rollout = rollouts.find(service);
        const auto before = recorded.find(service);
        if (rollout != rollouts.end() && rollout->second.verdict == rollout_verdict::succeeded) {
            bases[service] = rollout->second.target;
            continue;
        }
        const bool listed =
            before != recorded.end() && std::any_of(entries.begin(), entries.end(), [&](const auto &entry) { return entry.software == before->second; });
        const bool keeps = before != recorded.end() && (listed || rollout != rollouts.end());
        if (!keeps && !entries.empty()) {
            bases[service] = firstVersion(entries);
        }
    }
    return bases;
}

version_rules
versionRules(const server_catalog &servers, const std::map<service_name, software_version> &recorded, const std::map<service_name, rollout_status> &rollouts)
{
    const auto bases = baseVersions(servers, recorded, rollouts);
    version_rules rules;
    for (const auto &[service, entries] : servers.byService) {
        const auto base = bases.find(service);
        if (base == bases.end()) {
            continue;
        }
        const auto rollout = rollouts.find(service);
        rules[service] = {base->second, rollout == rollouts.end() ? std::nullopt : std::optional(rollout->second)};
    }
    return rules;
}

} // namespace daisystile
