#include "latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace daisystile {

static constexpr unsigned subBucketBits = 4;
static_assert(1U << subBucketBits == latency_histogram::subBuckets);

std::size_t latency_histogram::bucketOf(microseconds latency)
{
    const auto value = static_cast<std::uint64_t>(std::max<microseconds::rep>(latency.count(), 0));
    if (value < subBuckets) {
        return value;
    }
    const unsigned octave = std::bit_width(value) - 1 - subBucketBits;
    const std::size_t bucket = (octave + 1) * subBuckets + ((value >> octave) - subBuckets);
    return std::min(bucket, bucketCount - 1);
}

microseconds latency_histogram::upperBound(std::size_t bucket)
{
    if (bucket < subBuckets) {
        return microseconds {static_cast<microseconds::rep>(bucket)};
    }
    const std::size_t octave = bucket / subBuckets - 1;
    const std::uint64_t next = (subBuckets + bucket % subBuckets + 1) << octave;
    return microseconds {static_cast<microseconds::rep>(next - 1)};
}

void latency_histogram::addTo(std::size_t bucket, std::uint64_t times)
{
    if (bucket >= m_counts.size()) {
        m_counts.resize(bucket + 1);
    }
    m_counts[bucket] += times;
    m_total += times;
}

void latency_histogram::record(microseconds latency, std::uint64_t times)
{
    addTo(bucketOf(latency), times);
}

void latency_histogram::merge(const latency_histogram &other)
{
    if (other.m_counts.size() > m_counts.size()) {
        m_counts.resize(other.m_counts.size());
    }
    for (std::size_t i = 0; i < other.m_counts.size(); ++i) {
        m_counts[i] += other.m_counts[i];
    }
    m_total += other.m_total;
}

void latency_histogram::clear()
{
    m_counts.clear();
    m_total = 0;
}

std::uint64_t latency_histogram::count() const
{
    return m_total;
}

std::uint64_t latency_histogram::countWithin(microseconds latency) const
{
    const std::size_t end = std::min(bucketOf(latency) + 1, m_counts.size());
    std::uint64_t within = 0;
    for (std::size_t i = 0; i < end; ++i) {
        within += m_counts[i];
    }
    return within;
}

microseconds latency_histogram::percentile(double share) const
{
    if (m_total == 0) {
        return microseconds {0};
    }
    const double wanted = std::clamp(share, 0.0, 1.0) * static_cast<double>(m_total);
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(wanted - 1e-9)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        seen += m_counts[i];
        if (seen >= rank) {
            return upperBound(i);
        }
    }
    return upperBound(m_counts.size() - 1);
}

microseconds latency_histogram::mean() const
{
    if (m_total == 0) {
        return microseconds {0};
    }
    double sum = 0;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        const auto below = i == 0 ? -1 : upperBound(i - 1).count();
        const double middle = static_cast<double>(below + 1 + upperBound(i).count()) / 2;
        sum += middle * static_cast<double>(m_counts[i]);
    }
    return microseconds {static_cast<microseconds::rep>(sum / static_cast<double>(m_total))};
}

std::vector<latency_histogram::filled_bucket> latency_histogram::filledBuckets() const
{
    std::vector<filled_bucket> filled;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        if (m_counts[i] != 0) {
            filled.push_back({static_cast<std::uint16_t>(i), m_counts[i]});
        }
    }
    return filled;
}

void latency_histogram::add(const std::vector<filled_bucket> &buckets)
{
    for (const auto &bucket : buckets) {
        if (bucket.index < bucketCount) {
            addTo(bucket.index, bucket.count);
        }
    }
}

} // namespace daisystile
