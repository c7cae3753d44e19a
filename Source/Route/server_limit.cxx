#include "server_limit.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

// Of a limit, the shares of the daemons that send, of the other candidates, and of all other daemons.
constexpr double sendersShare = 0.8;
constexpr double candidatesShare = 0.15;
constexpr double othersShare = 0.05;
// Lower limits would keep a daemon from noticing their end for hours.
constexpr double minLimit = 0.1;
constexpr double maxLimit = 1e6;
// Each sender may send one request at any moment, so a low limit needs few senders. More than one, so that the server doesn't
// go unused when a daemon is lost.
constexpr double sendersAtNoLimit = 3;
// A sender's allowance, as the time in which it is filled.
constexpr std::chrono::duration<double> burstTime {0.5};
constexpr seconds minRareInterval {2};
constexpr seconds maxRareInterval {3600};

} // namespace

void server_limit::setPosition(const sender_position &position)
{
    m_position = position;
}

void server_limit::stated(std::optional<double> perSecond, monotonic_time now, double draw)
{
    if (!perSecond) {
        m_limit.reset();
        return;
    }
    const bool begins = !m_limit;
    m_allowance = begins ? 0 : allowanceAt(now);
    m_updated = now;
    m_limit = std::clamp(*perSecond, minLimit, maxLimit);
    m_allowance = std::min(m_allowance, burst());
    if (begins) {
        m_rareAt = now + rareInterval(draw);
    }
}

void server_limit::sent(monotonic_time now, double draw)
{
    if (!m_limit) {
        return;
    }
    m_allowance = std::max(0.0, allowanceAt(now) - 1);
    m_updated = now;
    m_rareAt = now + rareInterval(draw);
}

bool server_limit::limited() const
{
    return m_limit.has_value();
}

double server_limit::perSecond() const
{
    return m_limit.value_or(0);
}

double server_limit::ownShare() const
{
    return m_limit && sends() ? share() : 0;
}

bool server_limit::allows(monotonic_time now) const
{
    return availableFrom(now) <= now;
}

monotonic_time server_limit::availableFrom(monotonic_time now) const
{
    if (!m_limit) {
        return now;
    }
    if (!sends()) {
        return std::max(now, m_rareAt);
    }
    const double lacking = std::max(0.0, 1 - allowanceAt(now));
    return now + std::chrono::ceil<milliseconds>(std::chrono::duration<double>(lacking / share()));
}

bool server_limit::sends() const
{
    return m_position.rank && static_cast<double>(*m_position.rank) < std::floor(sendersAtNoLimit + *m_limit);
}

double server_limit::share() const
{
    const double senders = std::clamp(std::floor(sendersAtNoLimit + *m_limit), 1.0, static_cast<double>(std::max<std::size_t>(m_position.candidates, 1)));
    return sendersShare * *m_limit / senders;
}

double server_limit::burst() const
{
    return std::max(1.0, share() * burstTime.count());
}

double server_limit::allowanceAt(monotonic_time now) const
{
    const double passed = std::chrono::duration<double>(now - m_updated).count();
    return std::min(burst(), m_allowance + passed * share());
}

milliseconds server_limit::rareInterval(double draw) const
{
    const bool candidate = m_position.rank.has_value();
    const auto daemons = candidate ? m_position.candidates : m_position.allDaemons;
    const double rate = (candidate ? candidatesShare : othersShare) * *m_limit;
    const auto mean = std::chrono::ceil<milliseconds>(std::chrono::duration<double>(static_cast<double>(daemons) / rate));
    const auto bounded = std::clamp<milliseconds>(mean, minRareInterval, maxRareInterval);
    return std::chrono::duration_cast<milliseconds>(bounded * (0.75 + 0.5 * draw));
}

} // namespace daisystile
