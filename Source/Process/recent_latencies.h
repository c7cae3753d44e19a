#pragma once

#include "latency_histogram.h"

namespace daisystile {

/// The last few thousand latencies of one service's shard requests.
class recent_latencies
{
public:
    void add(microseconds latency);
    std::uint64_t count() const;
    /// Zero when empty.
    microseconds quantile(double share) const;

private:
    latency_histogram m_current;
    // Quantiles cover both windows, so that they don't change abruptly when a new window begins.
    latency_histogram m_previous;
};

} // namespace daisystile
