#include "replica_choice.h"

#include <algorithm>

namespace daisystile {

namespace {

// Delays that differ by less than this share of the pace count as the same.
constexpr double tieSpread = 0.3;
// Kept free for daemons that start while others still hold theirs.
constexpr double usableShare = 0.85;
// Where connections are scarce, this part of them is for the daemons of the server's failure domain.
constexpr double localPart = 0.6;
constexpr unsigned leastEqualShare = 2;
constexpr unsigned onDemand = 2;
constexpr milliseconds longIdle {60000};
constexpr milliseconds shortIdle {1000};

} // namespace

microseconds expectedDelay(const replica_view &candidate, microseconds pace, const choice_weights &weights)
{
    const double queue = candidate.running >= candidate.slots ? static_cast<double>(candidate.running + 1 - candidate.slots) / candidate.slots : 0.0;
    const double load = static_cast<double>(candidate.running) / candidate.slots;
    const double base = static_cast<double>(pace.count()) * candidate.slowness * (1 + queue + load / 4);
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

std::optional<std::size_t> chooseReplica(const std::vector<replica_view> &candidates, microseconds pace, const choice_weights &weights, double draw)
{
    std::optional<std::size_t> best;
    double least = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].running >= candidates[i].most) {
            continue;
        }
        // A different part of the draw for each candidate.
        const double part = draw * static_cast<double>(i + 1) * 7.31;
        const double spread = (part - static_cast<double>(static_cast<long>(part))) * tieSpread * static_cast<double>(pace.count());
        const double delay = static_cast<double>(expectedDelay(candidates[i], pace, weights).count()) + spread;
        if (!best || delay < least) {
            best = i;
            least = delay;
        }
    }
    return best;
}

connection_share connectionShare(const connection_share_inputs &terms)
{
    const double usable = std::max(1.0, terms.accepted * usableShare);
    const auto equal = static_cast<unsigned>(usable / std::max(terms.allDaemons, 1U));
    if (equal >= leastEqualShare) {
        return {equal, longIdle};
    }
    const auto near = static_cast<unsigned>(usable * localPart / std::max(terms.domainDaemons, 1U));
    if (terms.local && near >= 1) {
        return {near + 1, longIdle};
    }
    return {onDemand, shortIdle};
}

} // namespace daisystile
