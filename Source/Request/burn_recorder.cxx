#include "burn_recorder.h"

#include <algorithm>

namespace daisystile {

static constexpr std::size_t customersPerReply = 4;

burn_slice_ring::burn_slice_ring(std::uint32_t lengthS, std::size_t count)
    : m_lengthS(lengthS),
      m_count(count)
{
}

static std::vector<burn_bucket> bucketsOf(const latency_histogram &histogram)
{
    std::vector<burn_bucket> buckets;
    for (const auto &bucket : histogram.filledBuckets()) {
        buckets.push_back({bucket.index, static_cast<std::uint32_t>(bucket.count)});
    }
    return buckets;
}

void burn_slice_ring::closeNewestSlice()
{
    if (!m_slices.empty()) {
        m_slices.back().latency = bucketsOf(m_newestLatency);
    }
    m_newestLatency.clear();
}

burn_slice &burn_slice_ring::currentSlice(wall_seconds now)
{
    const wall_seconds start = now - now % m_lengthS;
    // If the wall clock was set back, the newest slice is used.
    if (!m_slices.empty() && start <= m_slices.back().start) {
        return m_slices.back();
    }
    closeNewestSlice();
    m_slices.push_back({.start = start, .lengthS = m_lengthS});
    if (m_slices.size() > m_count) {
        m_slices.pop_front();
    }
    return m_slices.back();
}

void burn_slice_ring::record(const completed_request &request, bool slow, wall_seconds now)
{
    auto &slice = currentSlice(now);
    if (request.refusal.empty()) {
        slice.answers += 1;
        slice.slow += slow ? 1 : 0;
        m_newestLatency.record(request.latency);
    } else {
        slice.refusals[std::string(request.refusal)] += 1;
    }
    slice.shards += request.shards;
    slice.covered += request.covered;
    slice.firstAttempts += request.firstAttempts;
    slice.extraAttempts += request.extraAttempts;
}

void burn_slice_ring::appendTo(std::vector<burn_slice> &slices, wall_seconds now) const
{
    const wall_seconds reach = m_lengthS * m_count;
    for (std::size_t i = 0; i < m_slices.size(); ++i) {
        if (m_slices[i].start + reach <= now) {
            continue;
        }
        slices.push_back(m_slices[i]);
        if (i + 1 == m_slices.size()) {
            slices.back().latency = bucketsOf(m_newestLatency);
        }
    }
}

burn_recorder::customer_record &burn_recorder::recordOf(const customer_id &customer)
{
    const auto found = m_customers.find(customer);
    if (found != m_customers.end()) {
        return found->second;
    }
    if (m_customers.size() >= maxCustomers) {
        const auto older = [](const auto &left, const auto &right) {
            return left.second.lastSeen < right.second.lastSeen;
        };
        m_customers.erase(std::min_element(m_customers.begin(), m_customers.end(), older));
    }
    return m_customers[customer];
}

void burn_recorder::record(const completed_request &request, const service_objective &objective, wall_seconds now)
{
    const bool slow = request.latency > objective.latency;
    const std::lock_guard guard(m_mutex);
    auto &entry = recordOf(request.customer);
    entry.lastSeen = now;
    entry.shortRing.record(request, slow, now);
    entry.longRing.record(request, slow, now);
}

void burn_recorder::recordDomainStates(const std::map<failure_domain_name, failure_domain> &domains, wall_seconds now)
{
    const std::lock_guard guard(m_mutex);
    for (const auto &[name, domain] : domains) {
        const auto [known, isNew] = m_domainsOut.try_emplace(name, domain.out);
        if (isNew || known->second == domain.out) {
            continue;
        }
        known->second = domain.out;
        m_domainChanges.push_back({name, domain.out, now});
        if (m_domainChanges.size() > maxDomainChanges) {
            m_domainChanges.pop_front();
        }
    }
}

std::vector<burn_reply> burn_recorder::reply(std::uint64_t number, wall_seconds now) const
{
    const std::lock_guard guard(m_mutex);
    std::vector<burn_reply> parts(1);
    parts[0].domainChanges.assign(m_domainChanges.begin(), m_domainChanges.end());
    for (const auto &[customer, entry] : m_customers) {
        if (parts.back().customers.size() == customersPerReply) {
            parts.emplace_back();
        }
        customer_slices slices {customer, {}};
        entry.shortRing.appendTo(slices.slices, now);
        entry.longRing.appendTo(slices.slices, now);
        parts.back().customers.push_back(std::move(slices));
    }
    for (auto &part : parts) {
        part.number = number;
        part.last = &part == &parts.back();
    }
    return parts;
}

} // namespace daisystile
