#include "replica_stats.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

constexpr double maxSlowness = 50;
// Measurements decay, so that a server that has recovered is tried again.
constexpr double slownessHalfLifeSeconds = 3;
constexpr double failuresHalfLifeSeconds = 1.5;
constexpr double answeredFailureFactor = 0.75;
constexpr milliseconds suspectAfterAbandon {150};

double decay(monotonic_time now, monotonic_time since, double halfLifeSeconds)
{
    const double age = std::chrono::duration<double>(now - since).count();
    return age <= 0 ? 1 : std::exp2(-age / halfLifeSeconds);
}

} // namespace

void replica_stats::started(attempt_id attempt, monotonic_time now, milliseconds suspectAfter)
{
    m_running.push_back({attempt, now, now + suspectAfter});
}

bool replica_stats::remove(attempt_id attempt, running_attempt &found)
{
    const auto entry = std::find_if(m_running.begin(), m_running.end(), [&](const auto &running) { return running.id == attempt; });
    if (entry == m_running.end()) {
        return false;
    }
    found = *entry;
    m_running.erase(entry);
    return true;
}

void replica_stats::answered(attempt_id attempt, monotonic_time now, microseconds typicalLatency)
{
    running_attempt found {};
    if (!remove(attempt, found)) {
        return;
    }
    m_lastAnswer = now;
    m_suspectUntil = {};
    const double expected = std::max<double>(1, static_cast<double>(typicalLatency.count()));
    const double latency = std::chrono::duration<double, std::micro>(now - found.sent).count();
    const double ratio = std::clamp(latency / expected, 0.0, maxSlowness);
    // The median of three: a single answer, slow or fast, doesn't distinguish a pause from a slow server.
    m_ratios[m_nextRatio] = ratio;
    m_nextRatio = (m_nextRatio + 1) % m_ratios.size();
    auto sorted = m_ratios;
    std::sort(sorted.begin(), sorted.end());
    m_slowness = sorted[sorted.size() / 2];
    m_slownessTime = now;
    m_failures = failures(now) * answeredFailureFactor;
    m_failuresTime = now;
}

void replica_stats::addFailure(monotonic_time now, double weight)
{
    m_failures = failures(now) + weight;
    m_failuresTime = now;
}

void replica_stats::failed(attempt_id attempt, monotonic_time now, double weight)
{
    running_attempt found {};
    if (remove(attempt, found)) {
        addFailure(now, weight);
    }
}

void replica_stats::failedToConnect(monotonic_time now)
{
    addFailure(now, 1);
}

void replica_stats::abandoned(attempt_id attempt)
{
    running_attempt found {};
    if (remove(attempt, found) && m_lastAnswer < found.sent) {
        m_suspectUntil = std::max(m_suspectUntil, found.suspectAt + suspectAfterAbandon);
    }
}

unsigned replica_stats::running() const
{
    return static_cast<unsigned>(m_running.size());
}

bool replica_stats::stalled(monotonic_time now) const
{
    if (now < m_suspectUntil) {
        return true;
    }
    return std::any_of(m_running.begin(), m_running.end(), [&](const auto &running) { return now >= running.suspectAt && m_lastAnswer < running.sent; });
}

double replica_stats::slowness(monotonic_time now) const
{
    return 1 + (m_slowness - 1) * decay(now, m_slownessTime, slownessHalfLifeSeconds);
}

double replica_stats::failures(monotonic_time now) const
{
    return m_failures * decay(now, m_failuresTime, failuresHalfLifeSeconds);
}

} // namespace daisystile
