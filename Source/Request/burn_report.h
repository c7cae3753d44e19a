#pragma once

#include "burn_recorder.h"

#include <set>

namespace daisystile {

/// Totals of one customer over a set of slices from all daemons.
struct burn_sums
{
    std::uint64_t answers = 0;
    std::uint64_t slow = 0;
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t extraAttempts = 0;
    latency_histogram latency;

    void add(const burn_slice &slice);
    /// Requests refused or failed by the system; excludes over_contract, which the customer causes.
    std::uint64_t failed() const;
    double coverage() const;
    double extraLoad() const;
    /// Burn rate: the share of bad requests divided by the share that the objective allows; 1 spends the error budget
    /// exactly.
    double latencyBurn(const service_objective &objective) const;
    double coverageBurn(const service_objective &objective) const;
};

struct burn_window
{
    std::uint32_t lengthS = 0;
    burn_sums sums;
};

struct burn_point
{
    wall_seconds start = 0;
    std::uint32_t lengthS = 0;
    burn_sums sums;
};

/// Multi-window burn-rate alert of a customer.
enum class burn_alert {
    none,
    /// Burn rate above 6 in both the 30 min and the 6 h window.
    slow,
    /// Burn rate above 14.4 in both the 5 min and the 1 h window.
    fast,
};

struct customer_burn
{
    customer_id customer;
    service_objective objective;
    /// Windows of 5 min, 30 min, 1 h and 6 h, in this order.
    std::vector<burn_window> windows;
    /// One-minute points of the last hour and ten-minute points of the last six hours, ordered by time.
    std::vector<burn_point> minutes;
    std::vector<burn_point> tenMinutes;
    burn_alert alert = burn_alert::none;
};

struct burn_report
{
    wall_seconds at = 0;
    std::vector<daemon_id> answered;
    std::vector<daemon_id> unanswered;
    std::vector<customer_burn> customers;
    std::vector<domain_change> domainChanges;
};

/// Collects and merges the replies of the daemons that were asked.
class burn_reply_collector
{
public:
    burn_reply_collector(std::uint64_t number, std::set<daemon_id> asked);

    /// Ignores replies to other requests and from daemons that were not asked.
    void addReply(const daemon_id &from, const burn_reply &reply);
    /// Stops waiting for a daemon that can't be reached.
    void markUnreachable(const daemon_id &lost);
    /// True if no reply is pending.
    bool complete() const;
    burn_report report(const std::map<customer_id, std::shared_ptr<const contract>> &contracts, wall_seconds now) const;

private:
    using slice_sums = std::map<wall_seconds, burn_sums>;

    customer_burn customerReport(const customer_id &customer, const std::map<std::uint32_t, slice_sums> &slices, const contract *terms, wall_seconds now) const;

    std::uint64_t m_number;
    std::set<daemon_id> m_pending;
    std::set<daemon_id> m_answered;
    std::set<daemon_id> m_unreachable;
    /// By customer, slice length and slice start.
    std::map<customer_id, std::map<std::uint32_t, slice_sums>> m_slices;
    std::vector<domain_change> m_domainChanges;
};

} // namespace daisystile
