#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisystile {

/// Counts of latencies in logarithmic buckets, 16 to each doubling, from 1 µs to about 36 minutes; longer ones count in the last bucket.
/// Histograms of several daemons or windows add up exactly; percentiles are never averaged.
class latency_histogram
{
public:
    static constexpr std::size_t subBuckets = 16;
    static constexpr std::size_t bucketCount = 28 * subBuckets;

    /// A bucket that holds something, for sending a histogram to another process.
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
    /// How many were at most so long, to the precision of a bucket.
    std::uint64_t countWithin(microseconds latency) const;
    /// The latency that this share (0 to 1) of all was within; zero when empty.
    microseconds percentile(double share) const;
    /// Mean over the middles of buckets; zero when empty.
    microseconds mean() const;

    /// Ordered by index.
    std::vector<filled_bucket> filledBuckets() const;
    /// Adds buckets as filledBuckets() gave them; indexes out of range are ignored.
    void add(const std::vector<filled_bucket> &buckets);

    static std::size_t bucketOf(microseconds latency);
    /// Longest latency that counts in a bucket.
    static microseconds upperBound(std::size_t bucket);

private:
    void addTo(std::size_t bucket, std::uint64_t times);

    // Grows to the highest bucket used, so that short windows stay small.
    std::vector<std::uint64_t> m_counts;
    std::uint64_t m_total = 0;
};

} // namespace daisystile
