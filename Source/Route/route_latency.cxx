#include "route_latency.h"

#include <algorithm>

namespace daisystile {

namespace {

// Until there are this many samples, a tenth of the objective is assumed as the typical latency.
constexpr std::uint64_t minSamples = 30;
constexpr std::uint64_t samplesBetweenRefreshes = 64;
constexpr int objectiveToTypical = 10;
constexpr int objectiveToInitialDelay = 3;
constexpr double typicalQuantile = 0.5;
// A server that takes this many times the typical latency has probably stalled.
constexpr double hedgeFactor = 1.9;
constexpr milliseconds minHedgeDelay {4};

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
    if (count >= minSamples && (m_refreshedAt == 0 || count < m_refreshedAt || count >= m_refreshedAt + samplesBetweenRefreshes)) {
        m_refreshedAt = count;
        refresh();
    }
}

void route_latency::refresh()
{
    if (m_refreshedAt == 0) {
        m_typical = microseconds {m_objective} / objectiveToTypical;
        m_hedgeDelay = m_objective / objectiveToInitialDelay;
        return;
    }
    m_typical = m_latencies.quantile(typicalQuantile);
    const auto delay = std::chrono::ceil<milliseconds>(m_typical * hedgeFactor);
    m_hedgeDelay = std::clamp(delay, minHedgeDelay, std::max(minHedgeDelay, m_objective / 2));
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
