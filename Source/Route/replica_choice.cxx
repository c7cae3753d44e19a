#include "replica_choice.h"

#include <algorithm>

namespace daisystile {

namespace {

// Expected delays that differ by less than this share of the typical latency count as equal.
constexpr double tieThreshold = 0.3;
// The rest stays free for daemons that start while others still hold their connections.
constexpr double usableShare = 0.85;
// Where connections are scarce, this share of them is reserved for daemons in the server's failure domain.
constexpr double localShare = 0.6;
constexpr unsigned minEqualShare = 2;
constexpr unsigned onDemandConnections = 2;
constexpr milliseconds persistentIdle {60000};
constexpr milliseconds onDemandIdle {1000};

} // namespace

microseconds expectedDelay(const replica_view &candidate, microseconds typicalLatency, const choice_weights &weights)
{
    const double queue = candidate.running >= candidate.slots ? static_cast<double>(candidate.running + 1 - candidate.slots) / candidate.slots : 0.0;
    const double load = static_cast<double>(candidate.running) / candidate.slots;
    const double base = static_cast<double>(typicalLatency.count()) * candidate.slowness * (1 + queue + load / 4);
    auto delay = microseconds {static_cast<microseconds::rep>(base)};
    delay += microseconds {static_cast<microseconds::rep>(static_cast<double>(microseconds {weights.failure}.count()) * candidate.failures)};
    if (!candidate.local) {
        delay += weights.remote;
    }
    if (candidate.stalled) {
        delay += weights.stalled;
    }
    if (candidate.cold) {
        delay += weights.cold;
    }
    if (!candidate.connected) {
        delay += weights.connect;
    }
    return delay;
}

std::optional<std::size_t> chooseReplica(const std::vector<replica_view> &candidates, microseconds typicalLatency, const choice_weights &weights, double draw)
{
    std::optional<std::size_t> best;
    double lowestDelay = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].running >= candidates[i].most) {
            continue;
        }
        // Derives a different pseudo-random value from the draw for each candidate.
        const double part = draw * static_cast<double>(i + 1) * 7.31;
        const double spread = (part - static_cast<double>(static_cast<long>(part))) * tieThreshold * static_cast<double>(typicalLatency.count());
        const double delay = static_cast<double>(expectedDelay(candidates[i], typicalLatency, weights).count()) + spread;
        if (!best || delay < lowestDelay) {
            best = i;
            lowestDelay = delay;
        }
    }
    return best;
}

connection_share connectionShare(const connection_share_inputs &terms)
{
    const double usable = std::max(1.0, terms.accepted * usableShare);
    const auto equal = static_cast<unsigned>(usable / std::max(terms.allDaemons, 1U));
    if (equal >= minEqualShare) {
        return {equal, persistentIdle};
    }
    const auto domainShare = static_cast<unsigned>(usable * localShare / std::max(terms.domainDaemons, 1U));
    if (terms.local && domainShare >= 1) {
        return {domainShare + 1, persistentIdle};
    }
    return {onDemandConnections, onDemandIdle};
}

} // namespace daisystile
