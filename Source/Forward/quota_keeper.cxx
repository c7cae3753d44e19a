#include "quota_keeper.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

constexpr milliseconds tickInterval {100};
// Claims exceed the demand by this factor, so that tokens are there before they are asked for.
constexpr double headroom = 2;
// Smaller changes of what this keeper could use aren't worth a message.
constexpr double leastChange = 0.02;
constexpr double wantedSteps = 1000;

double partOf(const quota_parts &parts, const account_name &account)
{
    const auto found = parts.find(account);
    return found == parts.end() ? 0 : found->second;
}

bool differ(const quota_parts &left, const quota_parts &right)
{
    const auto moved = [](const quota_parts &from, const quota_parts &to) {
        return std::any_of(from.begin(), from.end(), [&to](const auto &each) { return std::abs(each.second - partOf(to, each.first)) >= leastChange; });
    };
    return left.empty() != right.empty() || moved(left, right) || moved(right, left);
}

} // namespace

quota_keeper::quota_keeper(reactor &loop, const fleet_bounds &bounds)
    : m_loop(loop)
{
    setBounds(bounds);
}

void quota_keeper::setBounds(const fleet_bounds &bounds)
{
    m_bounds = bounds;
    applyClaims(m_loop.now());
}

void quota_keeper::update(const std::shared_ptr<const route_table> &routes)
{
    m_routes = routes;
    applyClaims(m_loop.now());
}

quota_parts quota_keeper::setClaims(claimed_quotas claims)
{
    const auto now = m_loop.now();
    // A bucket that is made later has no more than what has refilled since the part grew.
    const bool grown = now >= m_claims.until || partOf(claims.parts, slackAccount) > partOf(m_claims.parts, slackAccount);
    m_slackSince = grown ? now : m_slackSince;
    m_claims = std::move(claims);
    applyClaims(now);
    quota_parts held;
    for (const auto &[name, bucket] : m_buckets) {
        const double ofSlack = slackPartOf(bucket.held(now), m_bounds.quotaSlack);
        held[slackAccount] = std::max(held[slackAccount], ofSlack);
        if (const double part = bucket.partHeld(now); part > 0) {
            held.emplace(name, part);
        }
    }
    return held;
}

void quota_keeper::onWanted(std::function<void(quota_parts)> callback)
{
    m_wanted = std::move(callback);
}

// A bucket outlives the quota of its account, because daemons may still hold tokens of it.
quota_lease quota_keeper::leaseOf(const account_name &account) const
{
    const auto *terms = m_routes ? m_routes->account(account) : nullptr;
    if (terms == nullptr || !terms->quota) {
        return {};
    }
    const auto extra = extraOf(m_bounds.quotaSlack, partOf(m_claims.parts, slackAccount), m_bounds.quotaWindow);
    return {handedOut(*terms->quota, m_bounds.quotaOverage, m_bounds.quotaWindow),
        partOf(m_claims.parts, account),
        extra.tokens,
        extra.perSecond,
        m_slackSince,
        m_claims.until};
}

void quota_keeper::applyClaims(monotonic_time now)
{
    for (auto &[name, bucket] : m_buckets) {
        bucket.setLease(leaseOf(name), now);
    }
}

quota_bucket *quota_keeper::bucketOf(const account_name &account, monotonic_time now)
{
    const auto *terms = m_routes ? m_routes->account(account) : nullptr;
    if (terms == nullptr || !terms->quota) {
        return nullptr;
    }
    const auto [found, isNew] = m_buckets.try_emplace(account);
    if (isNew) {
        found->second.setLease(leaseOf(account), now);
    }
    return &found->second;
}

void quota_keeper::leave()
{
    m_leaving = true;
    stateWanted(m_loop.now());
}

tokens_answer quota_keeper::answer(const daemon_id &from, const tokens_question &question)
{
    if (m_leaving) {
        return {question.askedAtUs, -1, {}};
    }
    const auto now = m_loop.now();
    const auto valid = std::max(monotonic_time::duration {0}, m_claims.until - now);
    bool shortOfTokens = false;
    tokens_answer answer {question.askedAtUs, std::chrono::duration_cast<microseconds>(valid).count(), {}};
    for (const auto &each : question.accounts) {
        auto *bucket = bucketOf({each.account}, now);
        if (bucket == nullptr) {
            answer.accounts.push_back({each.account, 0, 0});
            continue;
        }
        bucket->giveBack(from, each.givenBack, now);
        const auto grant = bucket->ask(from, {each.arrived, each.held, each.wanted, each.waiting}, m_claims.until, now);
        shortOfTokens = shortOfTokens || grant.tokens < each.wanted;
        answer.accounts.push_back({each.account, grant.tokens, grant.retryAfter.count()});
    }
    if (shortOfTokens) {
        stateWanted(now);
    }
    if (!m_buckets.empty() && !std::exchange(m_ticking, true)) {
        tick();
    }
    return answer;
}

void quota_keeper::holdsNothing(const daemon_id &daemon)
{
    for (auto &[name, bucket] : m_buckets) {
        bucket.forget(daemon);
    }
}

quota_parts quota_keeper::wanted(monotonic_time now) const
{
    quota_parts parts;
    if (m_leaving) {
        return parts;
    }
    for (const auto &[name, bucket] : m_buckets) {
        const auto *account = m_routes ? m_routes->account(name) : nullptr;
        if (account == nullptr || !account->quota) {
            continue;
        }
        const auto quota = handedOut(*account->quota, m_bounds.quotaOverage, m_bounds.quotaWindow);
        const double forRate = headroom * bucket.demand(now) / quota.rate;
        const double forHolding = quota.burst > 0 ? bucket.held(now) / quota.burst : 0;
        const double part = std::ceil(std::min(1.0, std::max(forRate, forHolding)) * wantedSteps) / wantedSteps;
        if (part > 0) {
            parts[name] = part;
        }
    }
    return parts;
}

void quota_keeper::stateWanted(monotonic_time now)
{
    if (auto parts = wanted(now); differ(parts, m_stated)) {
        m_stated = parts;
        m_wanted(std::move(parts));
    }
}

void quota_keeper::tick()
{
    const auto now = m_loop.now();
    std::erase_if(m_buckets, [now](const auto &each) { return each.second.idle(now); });
    stateWanted(now);
    m_ticking = !m_buckets.empty();
    if (m_ticking) {
        m_loop.after(tickInterval, [this] { tick(); });
    }
}

} // namespace daisystile
