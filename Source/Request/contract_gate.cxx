#include "contract_gate.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

static constexpr double whole = 1e6;
// Weight of the newest interval when demand falls; a rise counts at once.
static constexpr double fallWeight = 0.3;

static constexpr seconds idleAfter {1};
// In seconds; over less, single requests would look like a high rate.
static constexpr double shortestInterval = 0.05;
// Asked for beyond what is open: a share that falls short by a rounding would cost a whole request.
static constexpr double spareRequests = 1;

static double inSeconds(monotonic_time::duration time)
{
    return std::chrono::duration<double>(time).count();
}

static void fill(contract_gate &gate, const contract &terms, std::uint32_t share, monotonic_time now)
{
    const double part = share / whole;
    const double passed = gate.filledAt == monotonic_time {} ? 0 : inSeconds(now - gate.filledAt);
    // A burst below one would let nothing in, however slow the traffic; only where requests come, so that idle daemons save up nothing.
    const double least = now - gate.askedAt < idleAfter ? 1.0 : 0.0;
    const double burst = std::max(terms.burst * part, least);
    gate.tokens = std::min(gate.tokens + terms.ratePerSecond * part * passed, burst);
    gate.filledAt = now;
}

gate_verdict admit(contract_gate &gate, const contract &terms, std::uint32_t share, monotonic_time now)
{
    fill(gate, terms, share, now);
    if (gate.tokens < 1) {
        return gate_verdict::over_rate;
    }
    const auto allowed = static_cast<std::uint32_t>(std::floor(terms.concurrency * (share / whole) + 1e-9));
    if (gate.open >= allowed) {
        return gate_verdict::over_concurrency;
    }
    gate.tokens -= 1;
    gate.open += 1;
    return gate_verdict::admitted;
}

void release(contract_gate &gate)
{
    gate.open -= gate.open > 0 ? 1 : 0;
}

void noteAsked(contract_gate &gate, std::uint32_t waiting, monotonic_time now)
{
    gate.askedAt = now;
    gate.asked += 1;
    gate.mostWanted = std::max(gate.mostWanted, gate.open + waiting + 1);
}

std::uint32_t takeDemand(contract_gate &gate, const contract &terms, monotonic_time now)
{
    const double interval = std::max(inSeconds(now - gate.demandSince), shortestInterval);
    const double byRate = terms.ratePerSecond > 0 ? gate.asked / interval / terms.ratePerSecond : 0;
    const auto open = std::max(gate.mostWanted, gate.open);
    const double byOpen = terms.concurrency > 0 && open > 0 ? (open + spareRequests) / terms.concurrency : 0;
    const double newest = std::min(std::max(byRate, byOpen), 1.0);
    gate.demand = newest > gate.demand ? newest : gate.demand + (newest - gate.demand) * fallWeight;
    gate.asked = 0;
    gate.mostWanted = gate.open;
    gate.demandSince = now;
    return static_cast<std::uint32_t>(std::ceil(gate.demand * whole));
}

} // namespace daisystile
