#include "route_latency.h"

#include <algorithm>

namespace daisystile {

namespace {

// Before enough answers were seen, a tenth of the objective is taken for the usual latency.
constexpr std::uint64_t leastSamples = 30;
constexpr std::uint64_t samplesBetweenRefreshes = 64;
constexpr int objectiveOverUsual = 10;
constexpr int objectiveOverFirstDelay = 3;
constexpr double usualQuantile = 0.5;
// A server that takes so many times the usual latency is likely to pause.
constexpr double hedgeFactor = 1.9;
constexpr milliseconds shortestHedgeDelay {4};

} // namespace

route_latency::route_latency(milliseconds objective)
{
    setObjective(objective);
}

void route_latency::setObjective(milliseconds objective)
{
    if (objective == m_objective) {
        return;
    }
    m_objective = objective;
    refresh();
}

void route_latency::add(microseconds latency)
{
    m_latencies.add(latency);
    const auto count = m_latencies.count();
    if (count >= leastSamples && (m_refreshedAt == 0 || count < m_refreshedAt || count >= m_refreshedAt + samplesBetweenRefreshes)) {
        m_refreshedAt = count;
        refresh();
    }
}

void route_latency::refresh()
{
    if (m_refreshedAt == 0) {
        m_typical = microseconds {m_objective} / objectiveOverUsual;
        m_hedgeDelay = m_objective / objectiveOverFirstDelay;
        return;
    }
    m_typical = m_latencies.quantile(usualQuantile);
    const auto delay = std::chrono::ceil<milliseconds>(m_typical * hedgeFactor);
    m_hedgeDelay = std::clamp(delay, shortestHedgeDelay, std::max(shortestHedgeDelay, m_objective / 2));
}

microseconds route_latency::typical() const
{
    return m_typical;
}

milliseconds route_latency::hedgeDelay() const
{
    return m_hedgeDelay;
}

} // namespace daisystile
