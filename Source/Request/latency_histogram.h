#pragma once

#include <Process/process.h>

#include <array>
#include <cstdint>

namespace daisystile {

/// Recent latencies of one service's shard requests in buckets of about 9 %; old ones fade.
class latency_histogram
{
public:
    void add(microseconds latency);
    std::uint64_t count() const;
    /// The upper edge of the bucket that holds the quantile; zero when empty.
    microseconds quantile(double share) const;

private:
    static constexpr std::size_t stepsPerDoubling = 8;
    static constexpr std::size_t doublings = 24;
    static std::size_t bucketOf(std::uint64_t value);
    static std::uint64_t upperEdge(std::size_t bucket);

    std::array<std::uint32_t, stepsPerDoubling * doublings> m_counts {};
    std::uint64_t m_total = 0;
};

} // namespace daisystile
