#include "relay_choice.h"

#include <algorithm>

namespace daisystile {

namespace {

// Number of sources tried before a daemon follows the store itself.
constexpr std::size_t sourcesPerDomain = 2;

bool failing(const failed_sources &failed, const daemon_id &id, monotonic_time now)
{
    const auto found = failed.find(id);
    return found != failed.end() && now < found->second;
}

} // namespace

relay_source chooseRelaySource(const std::vector<fleet_daemon> &fleet, const fleet_daemon &self, const failed_sources &failed, monotonic_time now)
{
    std::vector<const fleet_daemon *> candidates;
    for (const auto &daemon : fleet) {
        if (daemon.domain == self.domain && daemon.peers.port != 0) {
            candidates.push_back(&daemon);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto *left, const auto *right) {
        return left->strength != right->strength ? left->strength > right->strength : left->id < right->id;
    });
    candidates.resize(std::min(candidates.size(), sourcesPerDomain));
    for (const auto *candidate : candidates) {
        if (candidate->id == self.id) {
            return use_store {};
        }
        if (!failing(failed, candidate->id, now)) {
            return use_daemon {*candidate};
        }
    }
    return use_store {};
}

bool isUsable(const source_reachability &reach)
{
    return reach.sourceReachesStore || !reach.followsStore || !reach.reachesStore;
}

bool revision_request::due(const store_revision &announced, const store_revision &known)
{
    if (announced <= known || announced <= m_requested) {
        return false;
    }
    m_requested = announced;
    return true;
}

void revision_request::cancelled()
{
    m_requested = {};
}

} // namespace daisystile
