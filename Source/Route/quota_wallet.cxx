#include "quota_wallet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisystile {

namespace {

constexpr std::chrono::duration<double> rateTime {2};
// Time for which a daemon holds tokens in advance.
constexpr std::chrono::duration<double> advance {0.5};
// A daemon keeps one token of an account for this long after its last request.
constexpr seconds keepTime {10};
// Tokens that expire sooner are renewed.
constexpr seconds renewBefore {3};

} // namespace

bool quota_wallet::take(monotonic_time now)
{
    if (tokens(now) == 0) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void quota_wallet::arrived(monotonic_time now)
{
    const double passed = std::max(0.0, std::chrono::duration<double>(now - m_rateAt).count());
    m_rate = m_rate * std::exp(-passed / rateTime.count()) + 1 / rateTime.count();
    m_rateAt = now;
    m_arrived += 1;
}

unsigned quota_wallet::target(monotonic_time now) const
{
    if (now - m_rateAt > keepTime) {
        return 0;
    }
    const double passed = std::max(0.0, std::chrono::duration<double>(now - m_rateAt).count());
    return std::max(1U, static_cast<unsigned>(std::ceil(m_rate * std::exp(-passed / rateTime.count()) * advance.count())));
}

std::optional<quota_question> quota_wallet::ask(unsigned waiting, monotonic_time now)
{
    if (m_asking) {
        return std::nullopt;
    }
    const auto held = tokens(now);
    const auto wanted = target(now) + waiting;
    const bool renew = held > 0 && m_expiry - now < renewBefore && now - m_rateAt <= keepTime;
    if (held >= wanted && m_arrived == 0 && !renew) {
        return std::nullopt;
    }
    m_asking = true;
    m_askedAt = now;
    return quota_question {std::exchange(m_arrived, 0), held, wanted - std::min(wanted, held)};
}

void quota_wallet::granted(unsigned tokens, monotonic_time expiry)
{
    m_asking = false;
    m_tokens = m_expiry > m_askedAt ? m_tokens + tokens : tokens;
    m_expiry = expiry;
}

void quota_wallet::unanswered()
{
    m_asking = false;
}

void quota_wallet::clear()
{
    m_asking = false;
    m_tokens = 0;
}

unsigned quota_wallet::surplus(monotonic_time now)
{
    const auto held = tokens(now);
    const auto needed = target(now);
    const auto back = held - std::min(held, needed);
    m_tokens -= back;
    return back;
}

unsigned quota_wallet::tokens(monotonic_time now) const
{
    return now < m_expiry ? m_tokens : 0;
}

bool quota_wallet::idle(monotonic_time now) const
{
    return !m_asking && tokens(now) == 0 && now - m_rateAt > keepTime;
}

} // namespace daisystile
