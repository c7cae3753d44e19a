#include "quota_keeper.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds tickInterval {100};
// Claims exceed the demand by this factor, so that tokens are there before they are asked for.
constexpr double headroom = 1.3;

double partOf(const quota_parts &parts, const account_name &account)
{
    const auto found = parts.find(account);
    return found == parts.end() ? 0 : found->second;
}

} // namespace

quota_keeper::quota_keeper(reactor &loop)
    : m_loop(loop)
{
}

void quota_keeper::update(const std::shared_ptr<const route_table> &routes)
{
    m_routes = routes;
    std::erase_if(m_buckets, [this](const auto &each) {
        const auto *account = m_routes ? m_routes->account(each.first) : nullptr;
        return account == nullptr || !account->quota;
    });
    applyParts(m_loop.now());
}

void quota_keeper::setClaims(claimed_quotas claims)
{
    m_claims = std::move(claims);
    applyParts(m_loop.now());
}

void quota_keeper::onWanted(std::function<void(quota_parts)> callback)
{
    m_wanted = std::move(callback);
}

void quota_keeper::applyParts(monotonic_time now)
{
    m_placed = now < m_claims.until;
    for (auto &[name, bucket] : m_buckets) {
        const auto *account = m_routes->account(name);
        bucket.setPart(*account->quota, partNow(name), now);
    }
}

std::optional<double> quota_keeper::partNow(const account_name &account) const
{
    return m_placed ? std::optional(partOf(m_claims.parts, account)) : std::nullopt;
}

quota_bucket *quota_keeper::bucketOf(const account_name &account, monotonic_time now)
{
    const auto *terms = m_routes ? m_routes->account(account) : nullptr;
    if (terms == nullptr || !terms->quota) {
        return nullptr;
    }
    const auto [found, isNew] = m_buckets.try_emplace(account);
    if (isNew) {
        found->second.setPart(*terms->quota, partNow(account), now);
    }
    return &found->second;
}

tokens_answer quota_keeper::answer(const daemon_id &from, const tokens_question &question)
{
    const auto now = m_loop.now();
    if (m_placed != (now < m_claims.until)) {
        applyParts(now);
    }
    const auto valid = std::max(monotonic_time::duration {0}, m_claims.until - now);
    tokens_answer answer {question.askedAtUs, std::chrono::duration_cast<microseconds>(valid).count(), {}};
    for (const auto &each : question.accounts) {
        auto *bucket = bucketOf({each.account}, now);
        if (bucket == nullptr) {
            answer.accounts.push_back({each.account, 0, 0});
            continue;
        }
        bucket->giveBack(from, each.givenBack, now);
        const auto grant = bucket->ask(from, {each.arrived, each.held, each.wanted}, m_claims.until, now);
        answer.accounts.push_back({each.account, grant.tokens, grant.retryAfter.count()});
    }
    if (!std::exchange(m_ticking, true)) {
        tick();
    }
    return answer;
}

void quota_keeper::connected(const daemon_id &daemon)
{
    for (auto &[name, bucket] : m_buckets) {
        bucket.forget(daemon);
    }
}

quota_parts quota_keeper::wanted(monotonic_time now) const
{
    quota_parts parts;
    for (const auto &[name, bucket] : m_buckets) {
        const auto &quota = *m_routes->account(name)->quota;
        const double forRate = headroom * bucket.demand(now) / quota.rate;
        const double forHolding = quota.burst > 0 ? bucket.wanted(now) / quota.burst : 0;
        const double part = std::min(1.0, std::max(forRate, forHolding));
        if (part > 0) {
            parts[name] = part;
        }
    }
    return parts;
}

void quota_keeper::tick()
{
    const auto now = m_loop.now();
    std::erase_if(m_buckets, [now](const auto &each) { return each.second.idle(now); });
    m_wanted(wanted(now));
    m_ticking = !m_buckets.empty();
    if (m_ticking) {
        m_loop.after(tickInterval, [this] { tick(); });
    }
}

} // namespace daisystile
