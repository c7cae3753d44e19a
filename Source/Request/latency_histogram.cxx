#include "latency_histogram.h"

#include <algorithm>
#include <bit>

namespace daisystile {

// At this many the counts are halved, so that new latencies soon outweigh old ones.
static constexpr std::uint64_t fadeAt = 4096;

std::size_t latency_histogram::bucketOf(std::uint64_t value)
{
    if (value < stepsPerDoubling) {
        return static_cast<std::size_t>(value);
    }
    const auto exponent = static_cast<std::size_t>(std::bit_width(value)) - 1;
    const auto step = static_cast<std::size_t>(value >> (exponent - 3)) - stepsPerDoubling;
    return std::min((exponent - 2) * stepsPerDoubling + step, stepsPerDoubling * doublings - 1);
}

std::uint64_t latency_histogram::upperEdge(std::size_t bucket)
{
    if (bucket < stepsPerDoubling) {
        return bucket;
    }
    const auto exponent = bucket / stepsPerDoubling + 2;
    return ((stepsPerDoubling + bucket % stepsPerDoubling + 1) << (exponent - 3)) - 1;
}

void latency_histogram::add(microseconds latency)
{
    m_counts[bucketOf(static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0)))] += 1;
    m_total += 1;
    if (m_total < fadeAt) {
        return;
    }
    m_total = 0;
    for (auto &bucket : m_counts) {
        bucket /= 2;
        m_total += bucket;
    }
}

std::uint64_t latency_histogram::count() const
{
    return m_total;
}

microseconds latency_histogram::quantile(double share) const
{
    const auto wanted = static_cast<std::uint64_t>(share * static_cast<double>(m_total));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < m_counts.size(); ++bucket) {
        seen += m_counts[bucket];
        if (m_counts[bucket] > 0 && seen > wanted) {
            return microseconds {static_cast<std::int64_t>(upperEdge(bucket))};
        }
    }
    return microseconds {0};
}

} // namespace daisystile
