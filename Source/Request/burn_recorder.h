#pragma once

#include <Connection/connection.h>

#include <deque>
#include <mutex>
#include <string_view>

namespace daisystile {

/// Seconds since the epoch, for reports.
using wall_seconds = std::uint64_t;

/// Outcome of one request as its caller saw it.
struct completed_request
{
    customer_id customer;
    /// Empty if the caller got a result; otherwise the reason, for example over_contract or too_little_coverage.
    std::string_view refusal;
    microseconds latency {0};
    std::uint32_t shards = 0;
    std::uint32_t covered = 0;
    std::uint32_t firstAttempts = 0;
    std::uint32_t extraAttempts = 0;
};

/// Ring buffer of a customer's slices of one length, newest last.
class burn_slice_ring
{
public:
    burn_slice_ring(std::uint32_t lengthS, std::size_t count);

    void record(const completed_request &request, bool slow, wall_seconds now);
    /// Appends the slices within the time span of the ring, counted back from now.
    void appendTo(std::vector<burn_slice> &slices, wall_seconds now) const;

private:
    burn_slice &currentSlice(wall_seconds now);
    void closeNewestSlice();

    std::uint32_t m_lengthS;
    std::size_t m_count;
    std::deque<burn_slice> m_slices;
    /// Latencies of the newest slice; copied to its buckets when it is closed.
    latency_histogram m_newestLatency;
};

/// Records one daemon's outcomes by customer, in slices of one minute for an hour and of ten minutes for six hours.
/// Safe from any thread. Memory is bounded: beyond maxCustomers the least recently active customer is dropped.
class burn_recorder
{
public:
    static constexpr std::size_t maxCustomers = 256;
    static constexpr std::uint32_t shortSliceS = 60;
    static constexpr std::size_t shortSlices = 61;
    static constexpr std::uint32_t longSliceS = 600;
    static constexpr std::size_t longSlices = 37;
    static constexpr std::size_t maxDomainChanges = 64;

    void record(const completed_request &request, const service_objective &objective, wall_seconds now);
    /// Records the failure domains that were taken out or brought back since the last call.
    void recordDomainStates(const std::map<failure_domain_name, failure_domain> &domains, wall_seconds now);

    /// Returns the recorded slices in one or more parts of at most a few hundred kilobytes each.
    std::vector<burn_reply> reply(std::uint64_t number, wall_seconds now) const;

private:
    struct customer_record
    {
        burn_slice_ring shortRing {shortSliceS, shortSlices};
        burn_slice_ring longRing {longSliceS, longSlices};
        wall_seconds lastSeen = 0;
    };

    customer_record &recordOf(const customer_id &customer);

    mutable std::mutex m_mutex;
    std::map<customer_id, customer_record> m_customers;
    std::map<failure_domain_name, bool> m_domainsOut;
    std::deque<domain_change> m_domainChanges;
};

} // namespace daisystile
