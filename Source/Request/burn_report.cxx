#include "burn_report.h"

#include <algorithm>
#include <array>

namespace daisystile {

static constexpr std::uint32_t minuteS = 60;
static constexpr std::array<std::uint32_t, 4> windowsS {5 * minuteS, 30 * minuteS, 60 * minuteS, 360 * minuteS};
// The usual window pairs and burn-rate thresholds for an objective over 30 days.
static constexpr double fastBurnThreshold = 14.4;
static constexpr double slowBurnThreshold = 6;
// Each daemon sees a failure-domain change at a different time; equal changes within this time are the same change.
static constexpr wall_seconds duplicateChangeWindowS = 60;
static constexpr const char *overContract = "over_contract";

void burn_sums::add(const burn_slice &slice)
{
    answers += slice.answers;
    slow += slice.slow;
    for (const auto &[reason, count] : slice.refusals) {
        refusals[reason] += count;
    }
    shards += slice.shards;
    covered += slice.covered;
    firstAttempts += slice.firstAttempts;
    extraAttempts += slice.extraAttempts;
    std::vector<latency_histogram::filled_bucket> buckets;
    buckets.reserve(slice.latency.size());
    for (const auto &bucket : slice.latency) {
        buckets.push_back({bucket.index, bucket.count});
    }
    latency.add(buckets);
}

static void addSums(burn_sums &target, const burn_sums &source)
{
    target.answers += source.answers;
    target.slow += source.slow;
    for (const auto &[reason, count] : source.refusals) {
        target.refusals[reason] += count;
    }
    target.shards += source.shards;
    target.covered += source.covered;
    target.firstAttempts += source.firstAttempts;
    target.extraAttempts += source.extraAttempts;
    target.latency.merge(source.latency);
}

std::uint64_t burn_sums::failed() const
{
    std::uint64_t count = 0;
    for (const auto &[reason, times] : refusals) {
        count += reason == overContract ? 0 : times;
    }
    return count;
}

static double shareOf(std::uint64_t part, std::uint64_t whole, double ifEmpty)
{
    return whole == 0 ? ifEmpty : static_cast<double>(part) / static_cast<double>(whole);
}

double burn_sums::coverage() const
{
    return shareOf(covered, shards, 1);
}

double burn_sums::extraLoad() const
{
    return shareOf(extraAttempts, firstAttempts, 0);
}

// An objective of 100 % allows no bad requests; with the lower bound, one bad request exceeds any budget.
static double burnOf(double bad, double allowed)
{
    constexpr double minAllowed = 1e-6;
    return bad / std::max(allowed, minAllowed);
}

double burn_sums::latencyBurn(const service_objective &objective) const
{
    return burnOf(shareOf(slow + failed(), answers + failed(), 0), 1 - objective.latencyShare);
}

double burn_sums::coverageBurn(const service_objective &objective) const
{
    return burnOf(1 - coverage(), 1 - objective.coverage);
}

burn_reply_collector::burn_reply_collector(std::uint64_t number, std::set<daemon_id> asked)
    : m_number(number),
      m_pending(std::move(asked))
{
}

void burn_reply_collector::addReply(const daemon_id &from, const burn_reply &reply)
{
    if (reply.number != m_number || !m_pending.contains(from)) {
        return;
    }
    for (const auto &customer : reply.customers) {
        auto &slices = m_slices[customer.customer];
        for (const auto &slice : customer.slices) {
            slices[slice.lengthS][slice.start].add(slice);
        }
    }
    m_domainChanges.insert(m_domainChanges.end(), reply.domainChanges.begin(), reply.domainChanges.end());
    if (reply.last) {
        m_pending.erase(from);
        m_answered.insert(from);
    }
}

void burn_reply_collector::markUnreachable(const daemon_id &lost)
{
    if (m_pending.erase(lost) > 0) {
        m_unreachable.insert(lost);
    }
}

bool burn_reply_collector::complete() const
{
    return m_pending.empty();
}

// Every daemon reports the same change; the earliest report is used.
static std::vector<domain_change> distinctChanges(std::vector<domain_change> changes)
{
    std::sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) { return left.at < right.at; });
    std::vector<domain_change> distinct;
    for (const auto &change : changes) {
        const auto same = [&](const domain_change &other) {
            return other.domain == change.domain && other.out == change.out && other.at + duplicateChangeWindowS > change.at;
        };
        if (std::none_of(distinct.begin(), distinct.end(), same)) {
            distinct.push_back(change);
        }
    }
    return distinct;
}

static std::vector<burn_point> pointsOf(const std::map<std::uint32_t, std::map<wall_seconds, burn_sums>> &slices, std::uint32_t lengthS)
{
    std::vector<burn_point> points;
    const auto found = slices.find(lengthS);
    if (found == slices.end()) {
        return points;
    }
    points.reserve(found->second.size());
    for (const auto &[start, sums] : found->second) {
        points.push_back({start, lengthS, sums});
    }
    return points;
}

// Slices that overlap the start of the window count in full, so a window may cover up to one slice more than its length.
static burn_window windowOf(const std::vector<burn_point> &points, std::uint32_t lengthS, wall_seconds now)
{
    burn_window window {lengthS, {}};
    for (const auto &point : points) {
        if (point.start + point.lengthS + lengthS > now) {
            addSums(window.sums, point.sums);
        }
    }
    return window;
}

static burn_alert alertOf(const customer_burn &customer)
{
    const auto over = [&](std::size_t first, std::size_t second, double threshold) {
        const auto &left = customer.windows[first].sums;
        const auto &right = customer.windows[second].sums;
        const auto &objective = customer.objective;
        return std::min(left.latencyBurn(objective), right.latencyBurn(objective)) > threshold
            || std::min(left.coverageBurn(objective), right.coverageBurn(objective)) > threshold;
    };
    if (over(0, 2, fastBurnThreshold)) {
        return burn_alert::fast;
    }
    return over(1, 3, slowBurnThreshold) ? burn_alert::slow : burn_alert::none;
}

customer_burn burn_reply_collector::customerReport(const customer_id &customer,
    const std::map<std::uint32_t, slice_sums> &slices,
    const contract *terms,
    wall_seconds now) const
{
    customer_burn result;
    result.customer = customer;
    result.objective = terms != nullptr ? terms->objective : service_objective {};
    result.minutes = pointsOf(slices, burn_recorder::shortSliceS);
    result.tenMinutes = pointsOf(slices, burn_recorder::longSliceS);
    for (const auto lengthS : windowsS) {
        const bool withinHour = lengthS <= 60 * minuteS;
        result.windows.push_back(windowOf(withinHour ? result.minutes : result.tenMinutes, lengthS, now));
    }
    result.alert = alertOf(result);
    return result;
}

burn_report burn_reply_collector::report(const std::map<customer_id, std::shared_ptr<const contract>> &contracts, wall_seconds now) const
{
    burn_report result;
    result.at = now;
    result.answered.assign(m_answered.begin(), m_answered.end());
    result.unanswered.assign(m_unreachable.begin(), m_unreachable.end());
    result.unanswered.insert(result.unanswered.end(), m_pending.begin(), m_pending.end());
    result.domainChanges = distinctChanges(m_domainChanges);
    for (const auto &[customer, slices] : m_slices) {
        const auto found = contracts.find(customer);
        result.customers.push_back(customerReport(customer, slices, found == contracts.end() ? nullptr : found->second.get(), now));
    }
    return result;
}

} // namespace daisystile
