#include "contract_gate.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

static constexpr double wholeShare = 1e6;
// Smoothing weight of the latest interval when demand falls; a rise takes effect at once.
static constexpr double demandDecayWeight = 0.3;

static constexpr seconds idleThreshold {1};
// Over shorter intervals a single request would look like a high rate.
static constexpr double minIntervalSeconds = 0.05;
// Requested in addition to the open requests: a share that is too small by a rounding error would admit one request less.
static constexpr double spareRequestCount = 1;

static double inSeconds(monotonic_time::duration time)
{
    return std::chrono::duration<double>(time).count();
}

static void refill(contract_gate &gate, const contract &terms, std::uint32_t share, monotonic_time now)
{
    const double part = share / wholeShare;
    const double elapsedSeconds = gate.refilledAt == monotonic_time {} ? 0 : inSeconds(now - gate.refilledAt);
    // A burst below one token would admit nothing at any rate. The minimum applies only where requests arrive, so
    // that idle daemons accumulate no tokens.
    const double minBurst = now - gate.lastArrivalAt < idleThreshold ? 1.0 : 0.0;
    const double burst = std::max(terms.burst * part, minBurst);
    gate.tokens = std::min(gate.tokens + terms.ratePerSecond * part * elapsedSeconds, burst);
    gate.refilledAt = now;
}

gate_verdict admit(contract_gate &gate, const contract &terms, std::uint32_t share, monotonic_time now)
{
    refill(gate, terms, share, now);
    if (gate.tokens < 1) {
        return gate_verdict::over_rate;
    }
    const auto allowed = static_cast<std::uint32_t>(std::floor(terms.concurrency * (share / wholeShare) + 1e-9));
    if (gate.openRequests >= allowed) {
        return gate_verdict::over_concurrency;
    }
    gate.tokens -= 1;
    gate.openRequests += 1;
    return gate_verdict::admitted;
}

void release(contract_gate &gate)
{
    gate.openRequests -= gate.openRequests > 0 ? 1 : 0;
}

void recordArrival(contract_gate &gate, std::uint32_t waiting, monotonic_time now)
{
    gate.lastArrivalAt = now;
    gate.arrivals += 1;
    gate.peakConcurrency = std::max(gate.peakConcurrency, gate.openRequests + waiting + 1);
}

std::uint32_t takeDemand(contract_gate &gate, const contract &terms, monotonic_time now)
{
    const double interval = std::max(inSeconds(now - gate.demandMeasuredAt), minIntervalSeconds);
    const double rateDemand = terms.ratePerSecond > 0 ? gate.arrivals / interval / terms.ratePerSecond : 0;
    const auto open = std::max(gate.peakConcurrency, gate.openRequests);
    const double concurrencyDemand = terms.concurrency > 0 && open > 0 ? (open + spareRequestCount) / terms.concurrency : 0;
    const double currentDemand = std::min(std::max(rateDemand, concurrencyDemand), 1.0);
    gate.demand = currentDemand > gate.demand ? currentDemand : gate.demand + (currentDemand - gate.demand) * demandDecayWeight;
    gate.arrivals = 0;
    gate.peakConcurrency = gate.openRequests;
    gate.demandMeasuredAt = now;
    return static_cast<std::uint32_t>(std::ceil(gate.demand * wholeShare));
}

} // namespace daisystile
