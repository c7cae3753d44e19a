#include "serving_state.h"

#include <algorithm>

namespace daisystile {

static constexpr microseconds fixedHedgeDelay {20'000};
// Hedging only beyond this quantile uses a small part of the usual budget and leaves the rest for real stragglers.
static constexpr double hedgeQuantile = 0.99;
// Minimum number of samples for a meaningful quantile.
static constexpr std::uint64_t minLatencySamples = 64;
static constexpr microseconds minHedgeDelay {1000};
// If many servers are stragglers, the quantile reflects their latency; the median still reflects the usual latency
// and bounds the delay.
static constexpr int minDelayInMedians = 2;
static constexpr int maxDelayInMedians = 4;

void updateCatalogue(serving_state &serving, std::shared_ptr<const service> catalogue)
{
    serving.index = indexService(std::move(catalogue), serving.loads);
    serving.reportedSnapshot = {};
}

const snapshot_id &newestSnapshot(const serving_state &serving)
{
    return serving.reportedSnapshot.value.empty() ? serving.index->catalogue->snapshot : serving.reportedSnapshot;
}

static microseconds quantileDelay(const recent_latencies &latencies)
{
    if (latencies.count() < minLatencySamples) {
        return fixedHedgeDelay;
    }
    const auto median = latencies.quantile(0.5);
    const auto delay = std::clamp(latencies.quantile(hedgeQuantile), median * minDelayInMedians, median * maxDelayInMedians);
    return std::max(delay, minHedgeDelay);
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

bool shouldHedge(const serving_state &serving, server_number server, microseconds delay, monotonic_time now)
{
    if (serving.loads.avoided(server, now)) {
        return false;
    }
    return serving.hedging != hedge_policy::quantile_with_suppression || serving.loads.expectedLatency(server, now) < delay;
}

} // namespace daisystile
