#pragma once

#include "routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace daisystile {

/// Answers of the servers of one version. Counts only rise, so that those of several daemons are added up and two of the same
/// daemon subtracted.
struct version_counts
{
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    /// Successful answers by logarithmic bucket of their latency.
    std::map<unsigned, std::uint64_t> latencies;

    bool operator==(const version_counts &) const = default;

    void addFailure();
    void addSuccess(microseconds latency);
    void merge(const version_counts &other);
    /// What has been counted since the earlier time; the earlier counts must be among these.
    version_counts since(const version_counts &earlier) const;
};

struct compared_counts
{
    version_counts base;
    version_counts target;

    bool operator==(const compared_counts &) const = default;
};

/// What was counted for one order, by route.
using route_counts = std::map<route_name, compared_counts>;

void merge(route_counts &into, const route_counts &other);
route_counts since(const route_counts &now, const route_counts &earlier);
/// Sums of all routes.
compared_counts sumOf(const route_counts &counts);

/// Why a version is bad; empty route for all routes together.
struct version_fault
{
    route_name route;
    bool slow = false;
    std::uint64_t bad = 0;
    std::uint64_t answers = 0;
    std::uint64_t baseBad = 0;
    std::uint64_t baseAnswers = 0;
};

/// The first fault that these counts show of the target, if any.
std::optional<version_fault> faultShown(const route_counts &counts);

} // namespace daisystile
