#include "version_evidence.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

constexpr double bucketsPerOctave = 4;
// Of the bucket in which an answer counts as slow, above that of the base's median: 2.4 times its latency.
constexpr unsigned slowBuckets = 5;
constexpr std::uint64_t minBaseAnswers = 10;

struct fault_rule
{
    std::uint64_t minBad;
    double minShare;
    // Probability at the base's rate below which the answers aren't taken for chance. Tests repeat each second.
    double maxChance;
};
constexpr fault_rule failureRule {5, 0.03, 1e-4};
constexpr fault_rule slowRule {8, 0.2, 1e-6};

unsigned bucketOf(microseconds latency)
{
    const auto time = static_cast<double>(std::max<microseconds::rep>(latency.count(), 1));
    return static_cast<unsigned>(std::log2(time) * bucketsPerOctave);
}

unsigned medianBucket(const version_counts &counts)
{
    std::uint64_t all = 0;
    for (const auto &[bucket, count] : counts.latencies) {
        all += count;
    }
    std::uint64_t seen = 0;
    for (const auto &[bucket, count] : counts.latencies) {
        seen += count;
        if (seen * 2 >= all) {
            return bucket;
        }
    }
    return 0;
}

std::uint64_t countFrom(const version_counts &counts, unsigned bucket)
{
    std::uint64_t count = 0;
    for (auto entry = counts.latencies.lower_bound(bucket); entry != counts.latencies.end(); ++entry) {
        count += entry->second;
    }
    return count;
}

// Chernoff's bound of the probability of so many bad answers at this rate.
double chanceOf(std::uint64_t bad, std::uint64_t answers, double rate)
{
    const auto n = static_cast<double>(answers);
    const double share = static_cast<double>(bad) / n;
    if (share <= rate) {
        return 1;
    }
    const double rest = share < 1 ? (1 - share) * std::log((1 - share) / (1 - rate)) : 0;
    return std::exp(-n * (share * std::log(share / rate) + rest));
}

bool shows(const version_fault &fault, const fault_rule &rule)
{
    // The base's rate is known only roughly from few answers, and is never 0.
    constexpr double minRate = 0.01;
    constexpr double roughAnswers = 20;
    const double rate = std::max(minRate, (static_cast<double>(fault.baseBad) + 1) / (static_cast<double>(fault.baseAnswers) + roughAnswers));
    return fault.bad >= rule.minBad && static_cast<double>(fault.bad) >= rule.minShare * static_cast<double>(fault.answers) && rate < 1
        && chanceOf(fault.bad, fault.answers, rate) < rule.maxChance;
}

std::optional<version_fault> faultOf(const route_name &route, const compared_counts &counts)
{
    const auto &[base, target] = counts;
    const version_fault failures {route, false, target.failures, target.answers, base.failures, base.answers};
    if (shows(failures, failureRule)) {
        return failures;
    }
    if (base.answers - base.failures < minBaseAnswers) {
        return std::nullopt;
    }
    const auto slow = medianBucket(base) + slowBuckets;
    const version_fault slowness {route, true, countFrom(target, slow), target.answers, countFrom(base, slow), base.answers};
    return shows(slowness, slowRule) ? std::optional(slowness) : std::nullopt;
}

} // namespace

void version_counts::addFailure()
{
    answers += 1;
    failures += 1;
}

void version_counts::addSuccess(microseconds latency)
{
    answers += 1;
    latencies[bucketOf(latency)] += 1;
}

void version_counts::merge(const version_counts &other)
{
    answers += other.answers;
    failures += other.failures;
    for (const auto &[bucket, count] : other.latencies) {
        latencies[bucket] += count;
    }
}

version_counts version_counts::since(const version_counts &earlier) const
{
    auto rest = *this;
    rest.answers -= std::min(rest.answers, earlier.answers);
    rest.failures -= std::min(rest.failures, earlier.failures);
    for (const auto &[bucket, count] : earlier.latencies) {
        auto &left = rest.latencies[bucket];
        left -= std::min(left, count);
    }
    return rest;
}

void merge(route_counts &into, const route_counts &other)
{
    for (const auto &[route, counts] : other) {
        into[route].base.merge(counts.base);
        into[route].target.merge(counts.target);
    }
}

route_counts since(const route_counts &now, const route_counts &earlier)
{
    route_counts rest;
    for (const auto &[route, counts] : now) {
        const auto before = earlier.find(route);
        rest[route] = before == earlier.end() ? counts : compared_counts {counts.base.since(before->second.base), counts.target.since(before->second.target)};
    }
    return rest;
}

compared_counts sumOf(const route_counts &counts)
{
    compared_counts sum;
    for (const auto &[route, each] : counts) {
        sum.base.merge(each.base);
        sum.target.merge(each.target);
    }
    return sum;
}

// Latencies of several routes don't compare, so slowness is told by route; the sum is for failures on routes with few requests.
std::optional<version_fault> faultShown(const route_counts &counts)
{
    for (const auto &[route, each] : counts) {
        if (auto fault = faultOf(route, each)) {
            return fault;
        }
    }
    const auto sum = sumOf(counts);
    const version_fault failures {{}, false, sum.target.failures, sum.target.answers, sum.base.failures, sum.base.answers};
    return shows(failures, failureRule) ? std::optional(failures) : std::nullopt;
}

} // namespace daisystile
