#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisystile {

/// Latency histogram with logarithmic buckets, 16 per power of two, from 1 µs to about 36 minutes; longer latencies
/// count in the last bucket. Histograms of several daemons or windows merge exactly, so percentiles are never averaged.
class latency_histogram
{
public:
    static constexpr std::size_t subBuckets = 16;
    static constexpr std::size_t bucketCount = 28 * subBuckets;

    /// A non-empty bucket, as transferred to another process.
    struct filled_bucket
    {
        std::uint16_t index = 0;
        std::uint64_t count = 0;

        bool operator==(const filled_bucket &) const = default;

        template<class Archive> void serialize(Archive &archive)
        {
            archive(index, count);
        }
    };

    void record(microseconds latency, std::uint64_t times = 1);
    /// Adds another histogram's counts.
    void merge(const latency_histogram &other);
    void clear();

    std::uint64_t count() const;
    /// Number of latencies up to this one, within the precision of a bucket.
    std::uint64_t countWithin(microseconds latency) const;
    /// The latency that a share (0 to 1) of all recorded latencies doesn't exceed; zero when empty.
    microseconds percentile(double share) const;
    /// Mean, computed from the bucket midpoints; zero when empty.
    microseconds mean() const;

    /// The non-empty buckets, ordered by index.
    std::vector<filled_bucket> filledBuckets() const;
    /// Adds buckets returned by filledBuckets(); ignores indexes out of range.
    void add(const std::vector<filled_bucket> &buckets);

    static std::size_t bucketOf(microseconds latency);
    /// The longest latency that falls into a bucket.
    static microseconds upperBound(std::size_t bucket);

private:
    void addTo(std::size_t bucket, std::uint64_t times);

    // Sized to the highest bucket in use, so that histograms of short windows need little memory.
    std::vector<std::uint64_t> m_counts;
    std::uint64_t m_total = 0;
};

} // namespace daisystile
