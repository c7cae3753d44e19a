#include "ownership.h"

#include <algorithm>

namespace daisystile {

ownership::ownership(ownership_settings settings, daemon_id self, monotonic_time now)
    : m_settings(settings),
      m_self(std::move(self)),
      m_now(now),
      m_startedAt(now)
{
}

std::vector<ownership_action> ownership::decide(const ownership_event &event, monotonic_time now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &some) { on(some); }, event);
    return std::move(m_actions);
}

monotonic_time ownership::leaseUntil(const backend_server_id &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? monotonic_time {} : found->second.leaseUntil;
}

std::size_t ownership::heldLeaseCount(monotonic_time now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_servers.begin(), m_servers.end(), [&](const auto &item) { return item.second.serving == serving_state::serving && item.second.leaseUntil > now; }));
}

bool ownership::servingAny() const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [](const auto &item) { return item.second.serving != serving_state::idle; });
}

bool ownership::isOwner(const server_record &record) const
{
    return record.owner == m_self;
}

bool ownership::isRunnerUp(const server_record &record) const
{
    return record.runnerUp == m_self;
}

bool ownership::hasOutstandingGrant(const server_record &record) const
{
    return record.granted && record.granted->until > m_now;
}

void ownership::on(const choices_changed &event)
{
    std::map<backend_server_id, const server_choice *> chosen;
    for (const auto &choice : event.choices) {
        chosen.emplace(choice.server, &choice);
        m_servers.try_emplace(choice.server);
    }
    for (auto &[server, record] : m_servers) {
        const auto found = chosen.find(server);
        const bool wasRunnerUp = isRunnerUp(record);
        record.owner = found == chosen.end() ? std::nullopt : found->second->owner;
        record.runnerUp = found == chosen.end() ? std::nullopt : found->second->runnerUp;
        if (isRunnerUp(record) && !wasRunnerUp) {
            delayGrants(record, found->second->bothReplaced);
        }
        if (!isOwner(record) && record.serving == serving_state::serving) {
            stopServing(server, record);
        }
    }
    std::erase_if(m_servers, [&](const auto &item) {
        const auto &record = item.second;
        return !chosen.contains(item.first) && record.serving == serving_state::idle && !hasOutstandingGrant(record);
    });
    m_lastRequestAt.clear();
    requestLeases();
}

// Gives earlier holders time to learn of the change. When owner and runner-up were both replaced, also lets the lease of a
// holder that can't be reached expire.
void ownership::delayGrants(server_record &record, bool bothReplaced)
{
    const auto rest = m_settings.lease + m_settings.clockMargin - m_settings.failureDetectionTime;
    record.grantNotBefore = m_now + (bothReplaced ? std::max(rest, m_settings.settleTime) : m_settings.settleTime);
}

void ownership::on(const lease_requested &event)
{
    lease_answer answer {event.request.number, static_cast<std::uint32_t>(m_settings.lease.count()), {}};
    for (const auto &server : event.request.renewed) {
        grant(server, event, true, answer);
    }
    for (const auto &server : event.request.wanted) {
        grant(server, event, false, answer);
    }
    m_actions.emplace_back(send_control {event.from, std::move(answer)});
}

bool ownership::grant(const backend_server_id &server, const lease_requested &event, bool renewal, lease_answer &answer)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return false;
    }
    auto &record = found->second;
    if (!isRunnerUp(record) || record.owner != event.from || record.serving != serving_state::idle) {
        return false;
    }
    const bool sameHolder = record.granted && record.granted->holder == event.from && record.granted->incarnationNumber == event.incarnationNumber;
    if (hasOutstandingGrant(record) && !sameHolder) {
        return false;
    }
    // An owner that already holds a lease from a lost runner-up may continue without a gap.
    if (!sameHolder && !renewal && m_now < record.grantNotBefore) {
        return false;
    }
    record.granted = granted_lease {event.from, event.incarnationNumber, event.request.number, m_now + m_settings.lease + m_settings.clockMargin, m_now};
    answer.granted.push_back({server, std::exchange(record.allowed, std::uint16_t {0})});
    return true;
}

void ownership::on(const lease_answered &event)
{
    const auto sent = m_requests.find(event.answer.number);
    if (sent == m_requests.end() || sent->second.to != event.from) {
        return;
    }
    const auto until = sent->second.sentAt + milliseconds {event.answer.leaseMs};
    m_requests.erase(sent);
    for (const auto &granted : event.answer.granted) {
        const auto found = m_servers.find(granted.server);
        if (found == m_servers.end()) {
            continue;
        }
        auto &record = found->second;
        if (granted.allowed > 0) {
            record.allowed = granted.allowed;
        }
        if (isOwner(record) && record.runnerUp == event.from && !hasOutstandingGrant(record)) {
            record.granter = event.from;
            acceptLease(granted.server, record, until);
        }
    }
}

void ownership::acceptLease(const backend_server_id &server, server_record &record, monotonic_time until)
{
    if (until <= m_now || until <= record.leaseUntil || record.serving == serving_state::stopping) {
        return;
    }
    record.leaseUntil = until;
    if (record.serving == serving_state::serving) {
        m_actions.emplace_back(extend_lease {server, until});
        return;
    }
    record.serving = serving_state::serving;
    m_actions.emplace_back(start_serving {server, until, std::exchange(record.allowed, std::uint16_t {0})});
}

void ownership::stopServing(const backend_server_id &server, server_record &record)
{
    // An answer that is still in transit would renew the lease.
    m_requests.clear();
    record.serving = serving_state::stopping;
    record.leaseUntil = std::min(record.leaseUntil, m_now);
    m_actions.emplace_back(stop_serving {server});
}

void ownership::on(const server_idle &event)
{
    const auto found = m_servers.find(event.server);
    if (found == m_servers.end() || found->second.serving != serving_state::stopping) {
        return;
    }
    auto &record = found->second;
    record.serving = serving_state::idle;
    if (!isOwner(record)) {
        record.allowed = event.allowed;
        release(event.server, record);
    }
}

// Sends the release to the granter. When this daemon leaves, the granter is the new owner; when a daemon has joined and
// becomes the owner, it requests the lease from this daemon.
void ownership::release(const backend_server_id &server, const server_record &record)
{
    if (record.granter) {
        m_actions.emplace_back(send_control {*record.granter, lease_release {m_nextNumber++, {{server, record.allowed}}}});
    }
}

void ownership::on(const lease_released &event)
{
    for (const auto &released : event.release.servers) {
        const auto found = m_servers.find(released.server);
        if (found == m_servers.end()) {
            continue;
        }
        auto &record = found->second;
        if (record.granted && record.granted->holder == event.from && record.granted->incarnationNumber == event.incarnationNumber
            && record.granted->number < event.release.number) {
            record.granted.reset();
            record.allowed = released.allowed;
        }
    }
    m_lastRequestAt.clear();
    requestLeases();
}

void ownership::on(const ownership_tick &)
{
    for (auto &[server, record] : m_servers) {
        if (record.serving == serving_state::serving && record.leaseUntil <= m_now) {
            stopServing(server, record);
        }
    }
    requestLeases();
    reportUnresponsivePeers();
}

void ownership::requestLeases()
{
    if (m_now - m_startedAt < m_settings.joinWait) {
        return;
    }
    std::map<daemon_id, lease_request> requests;
    for (auto &[server, record] : m_servers) {
        if (!isOwner(record) || hasOutstandingGrant(record)) {
            continue;
        }
        // No other known daemon could serve the server, so no grant is needed.
        if (!record.runnerUp) {
            if (record.leaseUntil - m_now < m_settings.lease - m_settings.renewEvery) {
                acceptLease(server, record, m_now + m_settings.lease);
            }
            continue;
        }
        auto &request = requests[*record.runnerUp];
        (record.serving == serving_state::serving ? request.renewed : request.wanted).push_back(server);
    }
    for (auto &[to, request] : requests) {
        const auto pause = request.wanted.empty() ? m_settings.renewEvery : m_settings.retryEvery;
        const auto asked = m_lastRequestAt.find(to);
        if (asked != m_lastRequestAt.end() && m_now - asked->second < pause) {
            continue;
        }
        m_lastRequestAt[to] = m_now;
        request.number = m_nextNumber++;
        m_requests[request.number] = {to, m_now, false};
        m_actions.emplace_back(send_control {to, std::move(request)});
    }
}

void ownership::reportUnresponsivePeers()
{
    const auto answerLimit = m_settings.retryEvery * 2;
    for (auto &[number, request] : m_requests) {
        if (!request.reported && m_now - request.sentAt >= answerLimit) {
            request.reported = true;
            m_actions.emplace_back(peer_unresponsive {request.to});
        }
    }
    std::erase_if(m_requests, [this](const auto &item) { return m_now - item.second.sentAt >= m_settings.lease; });
    const auto renewalLimit = m_settings.renewEvery + m_settings.renewEvery / 3;
    for (auto &[server, record] : m_servers) {
        if (hasOutstandingGrant(record) && !record.granted->reported && m_now - record.granted->grantedAt >= renewalLimit) {
            record.granted->reported = true;
            m_actions.emplace_back(peer_unresponsive {record.granted->holder});
        }
    }
}

} // namespace daisystile
