#include "recent_latencies.h"

namespace daisystile {

static constexpr std::uint64_t windowSampleCount = 2048;

void recent_latencies::add(microseconds latency)
{
    m_current.record(latency);
    if (m_current.count() >= windowSampleCount) {
        std::swap(m_previous, m_current);
        m_current.clear();
    }
}

std::uint64_t recent_latencies::count() const
{
    return m_current.count() + m_previous.count();
}

microseconds recent_latencies::quantile(double share) const
{
    auto both = m_previous;
    both.merge(m_current);
    return both.percentile(share);
}

} // namespace daisystile
