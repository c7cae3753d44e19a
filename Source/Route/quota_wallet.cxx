#include "quota_wallet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisystile {

namespace {

constexpr std::chrono::duration<double> rateTime {2};
// Time for which a daemon holds tokens in advance. One that has use for less than half a token in this time holds none: tokens of
// a small account that lie at daemons are missing at those that its next requests reach.
constexpr std::chrono::duration<double> advance {0.5};
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
    return static_cast<unsigned>(std::round(m_rate * std::exp(-passed / rateTime.count()) * advance.count()));
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
    const auto missing = wanted - std::min(wanted, held);
    m_waiting = std::min(missing, waiting);
    return quota_question {std::exchange(m_arrived, 0), held, missing, m_waiting};
}

// Tokens that have expired by now may have expired at the keeper before it got the question; it then counts them as used.
void quota_wallet::granted(unsigned granted, monotonic_time expiry, monotonic_time now)
{
    m_asking = false;
    m_tokens = tokens(now) + granted;
    m_forWaiting = std::min(granted, m_waiting);
    m_expiry = expiry;
}

void quota_wallet::served(unsigned requests)
{
    const auto unused = m_forWaiting - std::min(m_forWaiting, requests);
    m_tokens -= std::min(m_tokens, unused);
    m_forWaiting = 0;
}

void quota_wallet::unanswered()
{
    m_asking = false;
}

void quota_wallet::clear()
{
    m_asking = false;
    m_forWaiting = 0;
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
