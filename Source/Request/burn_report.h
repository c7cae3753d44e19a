#pragma once

#include "burn_recorder.h"

#include <set>

namespace daisystile {

/// Sums of one customer over some slices of all daemons.
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
    /// Refused or failed by the system's own doing; over_contract is the customer's.
    std::uint64_t failed() const;
    double coverage() const;
    double extraLoad() const;
    /// Share of bad requests over the share that the objective allows: 1 spends the budget exactly.
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

/// How urgent a customer's burn is, by the two pairs of windows.
enum class burn_alert {
    none,
    /// Over 6 in 30 min and 6 h.
    slow,
    /// Over 14.4 in 5 min and 1 h.
    fast,
};

struct customer_burn
{
    customer_id customer;
    service_objective objective;
    /// 5 min, 30 min, 1 h, 6 h.
    std::vector<burn_window> windows;
    /// Minutes of the last hour, then ten minutes each of the last six hours; each ordered by time.
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

/// Gathers the replies of all daemons that were asked.
class burn_reply_collector
{
public:
    burn_reply_collector(std::uint64_t number, std::set<daemon_id> asked);

    /// Replies to other requests and from daemons not asked are ignored.
    void addReply(const daemon_id &from, const burn_reply &reply);
    /// The daemon can't be reached.
    void markUnreachable(const daemon_id &lost);
    /// Nobody is left to wait for.
    bool complete() const;
    burn_report report(const std::map<customer_id, std::shared_ptr<const contract>> &contracts, wall_seconds now) const;

private:
    using slice_sums = std::map<wall_seconds, burn_sums>;

    customer_burn customerReport(const customer_id &customer, const std::map<std::uint32_t, slice_sums> &slices, const contract *terms, wall_seconds now) const;

    std::uint64_t m_number;
    std::set<daemon_id> m_pending;
    std::set<daemon_id> m_answered;
    std::set<daemon_id> m_unreachable;
    /// By customer, length of slice, start.
    std::map<customer_id, std::map<std::uint32_t, slice_sums>> m_slices;
    std::vector<domain_change> m_domainChanges;
};

} // namespace daisystile
