#include "quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

// Small quotas would be cut into parts of a token, of which none is ever whole.
constexpr double extraTokens = 1;
constexpr std::chrono::duration<double> demandTime {2};
constexpr seconds idleTime {20};
constexpr milliseconds maxRetryAfter {5000};

double secondsBetween(monotonic_time from, monotonic_time to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

double quota_bucket::capacity() const
{
    return m_placed ? m_burst + extraTokens : 0;
}

void quota_bucket::refill(monotonic_time now)
{
    dropExpired(now);
    m_tokens += m_rate * secondsBetween(m_refilledAt, now);
    m_refilledAt = std::max(m_refilledAt, now);
    m_tokens = std::min(m_tokens, capacity() - held(now));
}

// Tokens that have expired may have been used, so they are gone.
void quota_bucket::dropExpired(monotonic_time now)
{
    std::erase_if(m_holdings, [now](const auto &each) { return each.second.expiry <= now; });
}

void quota_bucket::setPart(const account_quota &quota, std::optional<double> part, monotonic_time now)
{
    refill(now);
    m_rate = quota.rate * part.value_or(0);
    m_burst = quota.burst * part.value_or(0);
    // A keeper starts with the token beyond its part.
    m_tokens = part && !m_placed ? extraTokens : m_tokens;
    m_placed = part.has_value();
    m_tokens = std::min(m_tokens, capacity() - held(now));
}

quota_grant quota_bucket::ask(const daemon_id &daemon, const quota_question &question, monotonic_time expiry, monotonic_time now)
{
    refill(now);
    m_demand = demand(now) + static_cast<double>(question.arrived) / demandTime.count();
    m_demandAt = now;
    auto &own = m_holdings[daemon];
    own.tokens = std::min(own.tokens, question.held);
    const auto free = static_cast<unsigned>(std::max(0.0, std::floor(m_tokens)));
    const auto granted = std::min(question.wanted, free);
    m_tokens -= granted;
    own.tokens += granted;
    own.missing = question.wanted - granted;
    own.expiry = expiry;
    if (granted == question.wanted) {
        return {granted, milliseconds {0}};
    }
    const double missing = std::max(0.0, 1 - m_tokens);
    const auto wait = m_rate > 0 ? milliseconds {static_cast<milliseconds::rep>(std::min(missing / m_rate * 1000, 5000.0))} : maxRetryAfter;
    return {granted, std::clamp(wait, milliseconds {1}, maxRetryAfter)};
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
    return m_demand * std::exp(-secondsBetween(m_demandAt, now) / demandTime.count());
}

unsigned quota_bucket::held(monotonic_time now) const
{
    unsigned tokens = 0;
    for (const auto &[daemon, each] : m_holdings) {
        tokens += each.expiry > now ? each.tokens : 0;
    }
    return tokens;
}

unsigned quota_bucket::wanted(monotonic_time now) const
{
    unsigned tokens = 0;
    for (const auto &[daemon, each] : m_holdings) {
        tokens += each.expiry > now ? each.tokens + each.missing : 0;
    }
    return tokens;
}

bool quota_bucket::idle(monotonic_time now) const
{
    return now - m_demandAt > idleTime && held(now) == 0;
}

} // namespace daisystile
