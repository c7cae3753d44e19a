#include "serving_state.h"

#include <algorithm>

namespace daisystile {

static constexpr microseconds fixedHedgeDelay {20'000};
// Hedges beyond it stay well below the usual budget, which is then there for real stragglers.
static constexpr double hedgeQuantile = 0.99;
// Fewer latencies than this say nothing about the quantile.
static constexpr std::uint64_t fewestLatencies = 64;
static constexpr microseconds shortestHedgeDelay {1000};
// When many servers straggle the quantile is their own latency; the median still shows what is usual.
static constexpr int shortestDelayInMedians = 2;
static constexpr int longestDelayInMedians = 4;

void adoptCatalogue(serving_state &serving, std::shared_ptr<const service> catalogue)
{
    serving.index = indexService(std::move(catalogue), serving.loads);
    serving.heldSnapshot = {};
}

const snapshot_id &newestSnapshot(const serving_state &serving)
{
    return serving.heldSnapshot.value.empty() ? serving.index->catalogue->snapshot : serving.heldSnapshot;
}

static microseconds quantileDelay(const recent_latencies &latencies)
{
    if (latencies.count() < fewestLatencies) {
        return fixedHedgeDelay;
    }
    const auto median = latencies.quantile(0.5);
    const auto delay = std::clamp(latencies.quantile(hedgeQuantile), median * shortestDelayInMedians, median * longestDelayInMedians);
    return std::max(delay, shortestHedgeDelay);
}

microseconds hedgeDelay(const serving_state &serving)
{
    switch (serving.hedging) {
    case hedge_policy::none:
        return microseconds {0};
    case hedge_policy::fixed_delay:
        return fixedHedgeDelay;
    case hedge_policy::quantile:
    case hedge_policy::quantile_with_suppression:
        return quantileDelay(serving.latencies);
    }
    return microseconds {0};
}

bool hedgeWorthwhile(const serving_state &serving, server_number server, microseconds delay, monotonic_time now)
{
    if (serving.loads.avoided(server, now)) {
        return false;
    }
    return serving.hedging != hedge_policy::quantile_with_suppression || serving.loads.expected(server, now) < delay;
}

} // namespace daisystile
