#pragma once

#include <Version/version.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisystile {

/// Count of one bucket of a latency_histogram.
struct burn_bucket
{
    std::uint16_t index = 0;
    std::uint32_t count = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(index, count);
    }
};

/// Results of one daemon's requests of one customer within one interval of wall-clock time. The intervals are aligned
/// across all daemons.
struct burn_slice
{
    /// Seconds since the epoch.
    std::uint64_t start = 0;
    std::uint32_t lengthS = 0;
    /// Requests that got a result.
    std::uint64_t answers = 0;
    /// Of those, slower than the contract's latency objective.
    std::uint64_t slow = 0;
    /// Refused and failed requests by reason, over_contract included.
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t extraAttempts = 0;
    std::vector<burn_bucket> latency;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(start, lengthS, answers, slow, refusals, shards, covered, firstAttempts, extraAttempts, latency);
    }
};

struct customer_slices
{
    customer_id customer;
    std::vector<burn_slice> slices;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(customer, slices);
    }
};

/// A failure domain was taken out of service or put back.
struct domain_change
{
    failure_domain_name domain;
    bool out = false;
    /// Seconds since the epoch.
    std::uint64_t at = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(domain, out, at);
    }
};

/// Requests a daemon's slices.
struct burn_request
{
    std::uint64_t number = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number);
    }
};

/// Slices of some of a daemon's customers; complete with the part that is marked as last.
struct burn_reply
{
    std::uint64_t number = 0;
    bool last = true;
    std::vector<customer_slices> customers;
    std::vector<domain_change> domainChanges;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, last, customers, domainChanges);
    }
};

} // namespace daisystile
