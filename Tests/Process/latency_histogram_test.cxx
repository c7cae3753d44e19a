#include "Process/process.h"

#include <gtest/gtest.h>

#include <random>

using namespace daisystile;

TEST(latency_histogram, bucketsCoverAllValuesWithinTheirPrecision)
{
    for (std::int64_t value = 0; value < 1'000'000'000; value += 1 + value / 7) {
        const auto bucket = latency_histogram::bucketOf(microseconds {value});
        const auto upper = latency_histogram::upperBound(bucket).count();
        EXPECT_GE(upper, value);
        EXPECT_LE(static_cast<double>(upper - value), static_cast<double>(value) / latency_histogram::subBuckets);
        EXPECT_EQ(latency_histogram::bucketOf(microseconds {upper}), bucket);
        EXPECT_EQ(latency_histogram::bucketOf(microseconds {upper + 1}), bucket + 1);
    }
    EXPECT_EQ(latency_histogram::bucketOf(microseconds {-5}), 0U);
    EXPECT_EQ(latency_histogram::bucketOf(microseconds::max()), latency_histogram::bucketCount - 1);
}

TEST(latency_histogram, percentilesAreTheRankedValues)
{
    latency_histogram histogram;
    EXPECT_EQ(histogram.percentile(0.99).count(), 0);
    for (int i = 1; i <= 10; ++i) {
        histogram.record(microseconds {i});
    }
    EXPECT_EQ(histogram.percentile(0.5).count(), 5);
    EXPECT_EQ(histogram.percentile(0.9).count(), 9);
    EXPECT_EQ(histogram.percentile(1).count(), 10);
    EXPECT_EQ(histogram.countWithin(microseconds {7}), 7U);
    EXPECT_EQ(histogram.mean().count(), 5);
}

TEST(latency_histogram, mergedEqualsRecordedTogether)
{
    std::mt19937_64 random(1);
    latency_histogram whole;
    std::vector<latency_histogram> parts(3);
    for (int i = 0; i < 10'000; ++i) {
        const microseconds latency {static_cast<microseconds::rep>(random() % (1ULL << (random() % 32)))};
        whole.record(latency);
        parts[random() % parts.size()].record(latency);
    }
    latency_histogram merged;
    merged.merge(parts[0]);
    merged.merge(parts[1]);
    merged.add(parts[2].filledBuckets());
    EXPECT_EQ(merged.filledBuckets(), whole.filledBuckets());
    EXPECT_EQ(merged.count(), 10'000U);
    EXPECT_EQ(merged.percentile(0.99), whole.percentile(0.99));
}

TEST(latency_histogram, ignoresBucketsOutOfRange)
{
    latency_histogram histogram;
    histogram.add({{60'000, 5}, {3, 2}});
    EXPECT_EQ(histogram.count(), 2U);
}
