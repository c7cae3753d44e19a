#include "quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

constexpr std::chrono::duration<double> demandTime {2};
constexpr std::chrono::duration<double> longDemandTime {15};
constexpr seconds idleTime {20};
constexpr milliseconds maxRetryAfter {5000};
// A keeper that has only a part of the quota may soon have more.
constexpr milliseconds maxWaitForPart {250};

double secondsBetween(monotonic_time from, monotonic_time to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

double quota_bucket::capacity() const
{
    return m_lease.quota.burst * m_lease.part + m_lease.extra;
}

double quota_bucket::ratePerSecond() const
{
    return m_lease.quota.rate * m_lease.part + m_lease.extraRate;
}

void quota_bucket::refill(monotonic_time now)
{
    dropExpired(now);
    m_tokens += ratePerSecond() * secondsBetween(m_refilledAt, now);
    m_refilledAt = std::max(m_refilledAt, now);
    m_tokens = std::min(m_tokens, capacity() - held(now));
    // Without a lease the part may be another keeper's.
    m_tokens = now < m_lease.until ? m_tokens : 0;
}

// Tokens that have expired may have been used, so they are gone.
void quota_bucket::dropExpired(monotonic_time now)
{
    std::erase_if(m_holdings, [now](const auto &each) { return each.second.expiry <= now; });
}

void quota_bucket::setLease(const quota_lease &lease, monotonic_time now)
{
    refill(now);
    const bool begins = now >= m_lease.until && now < lease.until;
    m_lease = lease;
    m_tokens = begins ? std::min(lease.extra, lease.extraRate * secondsBetween(lease.since, now)) : m_tokens;
    m_tokens = std::min(m_tokens, capacity() - held(now));
}

double quota_bucket::partHeld(monotonic_time now) const
{
    const double beyondExtra = held(now) - m_lease.extra;
    return beyondExtra > 0 && m_lease.quota.burst > 0 ? std::min(1.0, beyondExtra / m_lease.quota.burst) : 0;
}

quota_grant quota_bucket::ask(const daemon_id &daemon, const quota_question &question, monotonic_time expiry, monotonic_time now)
{
    refill(now);
    const double passed = secondsBetween(m_demandAt, now);
    m_demand = m_demand * std::exp(-passed / demandTime.count()) + question.arrived / demandTime.count();
    m_longDemand = m_longDemand * std::exp(-passed / longDemandTime.count()) + question.arrived / longDemandTime.count();
    m_demandAt = now;
    auto &own = m_holdings[daemon];
    own.tokens = std::min(own.tokens, question.held);
    const auto free = static_cast<unsigned>(std::max(0.0, std::floor(m_tokens)));
    const auto granted = std::min(question.wanted, free);
    m_tokens -= granted;
    own.tokens += granted - std::min(granted, question.waiting);
    own.expiry = expiry;
    // Tokens in advance that are refused keep no request waiting.
    if (granted >= std::min(question.wanted, question.waiting)) {
        return {granted, milliseconds {0}};
    }
    const double missing = std::max(0.0, 1 - m_tokens);
    const double rate = ratePerSecond();
    const std::chrono::duration<double> wait {rate > 0 ? missing / rate : std::chrono::duration<double>(maxRetryAfter).count()};
    return {granted, std::clamp(std::chrono::ceil<milliseconds>(wait), milliseconds {1}, m_lease.part < 1 ? maxWaitForPart : maxRetryAfter)};
}

void quota_bucket::giveBack(const daemon_id &daemon, unsigned tokens, monotonic_time now)
{
    refill(now);
    const auto found = m_holdings.find(daemon);
    if (found == m_holdings.end()) {
        return;
    }
    const auto back = std::min(tokens, found->second.tokens);
    found->second.tokens -= back;
    m_tokens = std::min(m_tokens + back, capacity() - held(now));
}

void quota_bucket::forget(const daemon_id &daemon)
{
    m_holdings.erase(daemon);
}

double quota_bucket::demand(monotonic_time now) const
{
    const double passed = secondsBetween(m_demandAt, now);
    // A single request says nothing of a rate.
    return std::max((m_demand - 1 / demandTime.count()) * std::exp(-passed / demandTime.count()), m_longDemand * std::exp(-passed / longDemandTime.count()));
}

unsigned quota_bucket::held(monotonic_time now) const
{
    unsigned tokens = 0;
    for (const auto &[daemon, each] : m_holdings) {
        tokens += each.expiry > now ? each.tokens : 0;
    }
    return tokens;
}

bool quota_bucket::idle(monotonic_time now) const
{
    return now - m_demandAt > idleTime && held(now) == 0;
}

} // namespace daisystile
