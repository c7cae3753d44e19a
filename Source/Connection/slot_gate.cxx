#include "slot_gate.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

static constexpr double recentWeight = 0.25;
static constexpr double trendWeight = 0.05;
static constexpr double warmWeight = 0.02;
// A server of unknown warm latency counts as warm once its latency trend has fallen below its peak by this factor.
static constexpr double warmedUpFactor = 1.6;
static constexpr double sampleLimitFactor = 2;
static constexpr double usPerMs = 1000;

slot_gate::slot_gate(gate_settings settings)
    : m_settings(settings),
      m_answersPerIncrease(settings.answersPerIncrease),
      m_coldHold(settings.coldHold),
      m_backoff(settings.initialBackoff),
      m_queue(settings.queueLimit)
{
    m_settings.slots = std::max(settings.slots, 1U);
}

std::vector<gate_action> slot_gate::decide(const gate_event &event, monotonic_time now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &some) { on(some); }, event);
    for (const auto &late : m_queue.takeExpired(now)) {
        m_actions.emplace_back(refuse_request {late.id, attempt_failure::too_late});
    }
    detectStall();
    runQueued();
    return std::move(m_actions);
}

std::size_t slot_gate::allowed(monotonic_time now) const
{
    if (!m_open || m_drainingSince || now < m_backoffUntil) {
        return 0;
    }
    return m_probing ? 1 : m_limit;
}

std::size_t slot_gate::running() const
{
    return m_running.size();
}

std::size_t slot_gate::queued() const
{
    return m_queue.size();
}

bool slot_gate::draining() const
{
    return m_drainingSince.has_value();
}

std::uint16_t slot_gate::handover() const
{
    return static_cast<std::uint16_t>(m_limit);
}

microseconds slot_gate::warmLatency() const
{
    return microseconds {static_cast<microseconds::rep>(m_warmUs)};
}

server_load slot_gate::load(monotonic_time now) const
{
    server_load load;
    load.allowed = static_cast<std::uint16_t>(allowed(now));
    load.running = static_cast<std::uint16_t>(m_running.size());
    load.queued = static_cast<std::uint16_t>(m_queue.size());
    load.latencyUs = static_cast<std::uint32_t>(m_recentUs);
    return load;
}

void slot_gate::on(const request_arrived &event)
{
    const auto &request = event.request;
    if (!m_open) {
        m_actions.emplace_back(refuse_request {request.id, attempt_failure::not_owner});
    } else if (m_drainingSince) {
        m_actions.emplace_back(refuse_request {request.id, attempt_failure::draining});
    } else if (m_now < m_backoffUntil) {
        m_actions.emplace_back(refuse_request {request.id, m_backoffFailure});
    } else if (m_now + expectedWait() >= request.deadline) {
        m_actions.emplace_back(refuse_request {request.id, attempt_failure::too_late});
    } else if (const auto refused = m_queue.add(request)) {
        m_actions.emplace_back(refuse_request {refused->id, attempt_failure::queue_full});
    }
}

milliseconds slot_gate::expectedWait() const
{
    const auto ahead = static_cast<double>(m_queue.size() + m_running.size());
    const auto atATime = static_cast<double>(std::max<std::size_t>(allowed(m_now), 1));
    return milliseconds {static_cast<milliseconds::rep>(std::floor(ahead / atATime) * m_recentUs / usPerMs)};
}

void slot_gate::on(const request_withdrawn &event)
{
    if (m_queue.remove(event.id)) {
        m_actions.emplace_back(refuse_request {event.id, attempt_failure::cancelled});
    }
}

void slot_gate::on(const request_ended &event)
{
    const auto found = m_running.find(event.id);
    if (found == m_running.end()) {
        return;
    }
    const auto sentAt = found->second;
    m_running.erase(found);
    switch (event.end) {
    case request_end::good:
        recordGoodAnswer(std::chrono::duration_cast<microseconds>(m_now - sentAt));
        break;
    case request_end::shed:
        reduceLimit();
        break;
    case request_end::draining:
        startDraining();
        break;
    case request_end::lost:
        handleServerLoss();
        break;
    case request_end::timed_out:
    case request_end::cancelled:
        // A single late request while others are answered does not mean that the server is lost.
        if (isStalled(sentAt)) {
            handleServerLoss();
        }
        break;
    case request_end::neutral:
        break;
    }
}

static void updateAverage(double &average, double sample, double weight)
{
    average = average == 0 ? sample : average + weight * (sample - average);
}

void slot_gate::recordGoodAnswer(microseconds latency)
{
    const auto us = static_cast<double>(latency.count());
    // Caps outliers, so that a single late answer does not make a warm server look cold.
    const auto sample = m_warmUs > 0 ? std::min(us, sampleLimitFactor * m_settings.slowFactor * m_warmUs) : us;
    const bool firstWhenCold = m_recentUs == 0;
    updateAverage(m_recentUs, sample, recentWeight);
    if (!firstWhenCold) {
        // The first answer may include the time to connect.
        updateAverage(m_trendUs, sample, trendWeight);
        m_trendPeakUs = std::max(m_trendPeakUs, m_trendUs);
    }
    m_lastAnswer = m_now;
    m_backoff = m_settings.initialBackoff;
    m_consecutiveGood += 1;
    if (isSlow()) {
        m_consecutiveGood = 0;
        // A server that has become cold must not keep the limit that it had when warm.
        if (m_limit > 1) {
            enterColdState(false);
            return;
        }
    }
    const bool slowAlone = m_probing && m_warmUs > 0 && us > m_settings.slowFactor * m_warmUs;
    m_probing = slowAlone;
    updateWarmLatency();
    raiseLimitIfHealthy();
}

void slot_gate::updateWarmLatency()
{
    const bool unknown = m_warmUs == 0;
    const bool warmedUp = m_trendUs > 0 && m_trendPeakUs > warmedUpFactor * m_trendUs;
    const bool slowForLong = isSlow() && m_now - m_coldSince >= m_settings.slowHold;
    if (unknown ? warmedUp || m_now >= m_holdUntil : slowForLong) {
        m_warmUs = m_recentUs;
    }
    if (m_limit == m_settings.slots && !m_probing) {
        updateAverage(m_warmUs, m_recentUs, warmWeight);
        m_coldHold = m_settings.coldHold;
    }
}

void slot_gate::raiseLimitIfHealthy()
{
    const bool mayGrow = m_warmUs > 0 && !isSlow() && (!m_restarted || m_now >= m_holdUntil);
    if (mayGrow && m_limit < m_settings.slots && m_consecutiveGood >= m_answersPerIncrease * m_limit) {
        m_limit += 1;
        m_consecutiveGood = 0;
    }
}

void slot_gate::reduceLimit()
{
    m_consecutiveGood = 0;
    m_answersPerIncrease = std::min(m_answersPerIncrease * 2, m_settings.answersPerIncreaseLimit);
    if (m_limit > 1) {
        m_limit -= 1;
        return;
    }
    startBackoff(attempt_failure::shed);
}

void slot_gate::handleServerLoss()
{
    enterColdState(true);
    startBackoff(attempt_failure::server_lost);
    refuseAll(attempt_failure::server_lost);
}

void slot_gate::startBackoff(attempt_failure failure)
{
    // Requests that fail at the same time count as one failure.
    if (m_now < m_backoffUntil) {
        return;
    }
    m_backoffFailure = failure;
    m_backoffUntil = m_now + m_backoff;
    m_backoff = std::min(m_backoff * 2, m_settings.maxBackoff);
}

void slot_gate::enterColdState(bool restarted)
{
    if (m_limit > 1) {
        m_holdUntil = m_now + m_coldHold;
        m_coldHold = std::min(m_coldHold * 2, m_settings.coldHoldLimit);
    } else {
        m_holdUntil = std::max(m_holdUntil, m_now + m_settings.coldHold);
    }
    m_restarted = restarted;
    m_coldSince = m_now;
    m_limit = 1;
    m_consecutiveGood = 0;
    m_probing = true;
    m_recentUs = 0;
    m_trendUs = 0;
    m_trendPeakUs = 0;
}

void slot_gate::startDraining()
{
    if (!m_drainingSince) {
        m_drainingSince = m_now;
        m_seenUnreachable = false;
        refuseAll(attempt_failure::draining);
    }
}

void slot_gate::on(const gate_opened &event)
{
    m_open = true;
    m_drainingSince.reset();
    m_backoffUntil = {};
    m_coldHold = m_settings.coldHold;
    m_answersPerIncrease = m_settings.answersPerIncrease;
    m_limit = 1;
    enterColdState(false);
    if (event.allowed > 0) {
        m_limit = std::clamp<std::uint32_t>(event.allowed, 1, m_settings.slots);
        m_probing = m_limit == 1;
    }
}

void slot_gate::on(const gate_closed &)
{
    m_open = false;
    refuseAll(attempt_failure::not_owner);
}

void slot_gate::on(const health_seen &event)
{
    if (!m_drainingSince) {
        return;
    }
    m_seenUnreachable |= event.state == health_state::unreachable;
    const bool longAgo = m_now - *m_drainingSince >= m_settings.drainHold;
    if (event.state == health_state::healthy && (m_seenUnreachable || longAgo)) {
        m_drainingSince.reset();
        enterColdState(true);
    }
}

void slot_gate::on(const reference_seen &event)
{
    if (m_warmUs == 0) {
        m_warmUs = static_cast<double>(event.latency.count());
    }
}

// A restart between two requests is visible only by its closed connections: on a busy host, the latencies measured here
// do not show reliably that the server is cold.
void slot_gate::on(const kept_connection_ended &event)
{
    const bool answersElsewhere = m_now - m_lastAnswer < m_settings.idleConnectionLimit;
    if (event.unused < m_settings.idleConnectionLimit || !answersElsewhere) {
        enterColdState(true);
    }
}

void slot_gate::on(const gate_tick &)
{
}

bool slot_gate::isSlow() const
{
    return m_warmUs > 0 && m_recentUs > m_settings.slowFactor * m_warmUs;
}

bool slot_gate::isStalled(monotonic_time sentAt) const
{
    const milliseconds usual {static_cast<milliseconds::rep>(m_settings.stallLatencyFactor * m_warmUs / usPerMs)};
    return m_now - std::max(sentAt, m_lastAnswer) > std::max(m_settings.stallTimeout, usual);
}

// An overloaded server that has stopped answering would get further requests until the first deadlines pass.
void slot_gate::detectStall()
{
    const auto isStuck = [this](const auto &item) {
        return isStalled(item.second);
    };
    if (m_limit > 1 && std::any_of(m_running.begin(), m_running.end(), isStuck)) {
        enterColdState(true);
    }
}

void slot_gate::runQueued()
{
    if (m_running.empty() && m_now - m_lastAnswer >= m_settings.idleProbeAfter) {
        m_probing = true;
    }
    while (m_running.size() < allowed(m_now)) {
        const auto next = m_queue.takeNext();
        if (!next) {
            return;
        }
        m_running.emplace(next->id, m_now);
        m_actions.emplace_back(run_request {next->id});
    }
}

void slot_gate::refuseAll(attempt_failure failure)
{
    for (const auto &request : m_queue.takeAll()) {
        m_actions.emplace_back(refuse_request {request.id, failure});
    }
}

} // namespace daisystile
