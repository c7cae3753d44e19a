#include "membership.h"

#include <algorithm>

namespace daisystile {

static constexpr milliseconds relayedProbeTimeout {2000};
static constexpr std::size_t seedsPerReconnect = 2;

bool token_bucket::take(double perSecond, monotonic_time now)
{
    const std::chrono::duration<double> passed = now - refilledAt;
    tokens = std::min(tokens + passed.count() * perSecond, 2 * perSecond);
    refilledAt = now;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

membership::membership(membership_settings settings, member self, std::uint64_t seed, monotonic_time now)
    : m_settings(settings),
      m_table(std::move(self)),
      m_random(seed),
      m_now(now),
      m_startedAt(now),
      m_lastTick(now),
      m_lastProbe(now),
      m_lastReconnect(now - settings.reconnectInterval),
      m_lastSync(now - settings.syncInterval)
{
    m_gossipRate = {settings.gossipRoundsPerSecond, now};
    m_tableRate = {2 * settings.tableDatagramsPerSecond, now};
}

std::vector<membership_action> membership::decide(const membership_event &event, monotonic_time now)
{
    m_now = now;
    m_actions.clear();
    if (!m_superseded) {
        std::visit([this](const auto &some) { on(some); }, event);
        sendGossip();
    }
    return std::move(m_actions);
}

std::vector<member> membership::members() const
{
    return m_table.liveMembers();
}

const member_table &membership::table() const
{
    return m_table;
}

void membership::on(const membership_tick &)
{
    compensateOwnPause();
    checkProbes();
    checkSuspects();
    if (m_now - m_lastProbe >= m_settings.probeInterval) {
        m_lastProbe = m_now;
        probeNext();
    }
    if (m_now - m_lastReconnect >= m_settings.reconnectInterval) {
        m_lastReconnect = m_now;
        reconnect();
        m_table.expireDeadMembers(m_now);
    }
}

// A daemon that was paused has missed the answers to its probes and must not suspect the probed members for it. Pending
// probes are dropped, and suspicion timers are extended by the pause.
void membership::compensateOwnPause()
{
    const auto gap = m_now - m_lastTick;
    m_lastTick = m_now;
    if (gap < m_settings.directTimeout) {
        return;
    }
    m_pending.clear();
    m_lastProbe = m_now;
    for (auto &[id, since] : m_suspectSince) {
        since += gap;
    }
}

void membership::probeNext()
{
    if (const auto target = nextProbeTarget()) {
        startProbe(*target);
    }
}

std::optional<daemon_id> membership::nextProbeTarget()
{
    const bool remoteTurn = ++m_probesSent % m_settings.remoteProbeEvery == 0;
    const auto outside = [this](const member &other) {
        return other.state != member_state::dead && !isInOwnDomain(other);
    };
    if (remoteTurn) {
        const auto chosen = randomSample(m_table.select(outside), 1);
        if (!chosen.empty()) {
            return chosen.front();
        }
    }
    // Each round probes every member of the domain once, in a new random order, which bounds the time between two probes
    // of a member.
    if (m_localProbeOrder.empty()) {
        const auto inside = [this](const member &other) {
            return other.state != member_state::dead && isInOwnDomain(other);
        };
        const auto members = m_table.select(inside);
        m_localProbeOrder = randomSample(members, members.size());
    }
    while (!m_localProbeOrder.empty()) {
        const auto id = m_localProbeOrder.back();
        m_localProbeOrder.pop_back();
        const auto *known = m_table.find(id);
        if (known && known->subject.state != member_state::dead) {
            return id;
        }
    }
    const auto chosen = randomSample(m_table.select(outside), 1);
    return chosen.empty() ? std::nullopt : std::optional(chosen.front());
}

void membership::startProbe(const daemon_id &target)
{
    const auto *known = m_table.find(target);
    const auto number = m_nextNumber++;
    m_pending[number] = {target, known->subject.incarnationNumber, m_now};
    sendTo(target, probe {number, target});
}

void membership::checkProbes()
{
    std::vector<pending_probe> failed;
    for (auto found = m_pending.begin(); found != m_pending.end();) {
        auto &pending = found->second;
        const auto waited = m_now - pending.sentAt;
        if (waited >= m_settings.directTimeout + m_settings.indirectTimeout) {
            failed.push_back(pending);
            found = m_pending.erase(found);
            continue;
        }
        if (waited >= m_settings.directTimeout && !pending.indirect) {
            pending.indirect = true;
            startIndirectProbes(found->first, pending);
        }
        ++found;
    }
    for (const auto &pending : failed) {
        suspect(pending.target, pending.incarnationNumber);
    }
    std::erase_if(m_relayed, [this](const auto &item) { return m_now - item.second.sentAt > relayedProbeTimeout; });
}

void membership::startIndirectProbes(std::uint64_t number, const pending_probe &pending)
{
    const auto *target = m_table.find(pending.target);
    if (!target) {
        return;
    }
    const auto domain = target->subject.domain;
    const auto canRelay = [&](const member &other) {
        return other.state == member_state::alive && other.id != pending.target && (isInOwnDomain(other) || other.domain == domain);
    };
    for (const auto &helper : randomSample(m_table.select(canRelay), m_settings.indirectProbes)) {
        sendTo(helper, indirect_probe {number, pending.target});
    }
}

void membership::suspect(const daemon_id &id, incarnation incarnationNumber)
{
    const auto *known = m_table.find(id);
    if (!known || known->subject.incarnationNumber != incarnationNumber || known->subject.state == member_state::dead) {
        return;
    }
    auto update = *known;
    // A member that announced that it is leaving keeps this state until it is dead.
    if (update.subject.state == member_state::alive) {
        update.subject.state = member_state::suspect;
        applyUpdate(update);
    }
    m_suspectSince.try_emplace(id, m_now);
}

void membership::checkSuspects()
{
    std::vector<member_update> lost;
    for (const auto &[id, since] : m_suspectSince) {
        const auto *known = m_table.find(id);
        if (m_now - since >= suspicionTimeout(known->subject)) {
            lost.push_back(*known);
        }
    }
    for (auto &update : lost) {
        update.subject.state = member_state::dead;
        applyUpdate(update);
    }
}

// Contacts dead members to detect that a partition has healed, and listed hosts so that a new daemon finds the fleet.
void membership::reconnect()
{
    std::vector<ip_address> known;
    for (const auto &id : m_table.select([](const member &other) { return other.state != member_state::dead; })) {
        known.push_back(m_table.find(id)->subject.control);
    }
    known.push_back(m_table.self().subject.control);
    std::vector<ip_address> unknownHosts;
    for (const auto &host : m_listedHosts) {
        if (std::find(known.begin(), known.end(), host.control) == known.end()) {
            unknownHosts.push_back(host.control);
        }
    }
    for (std::size_t i = 0; i < seedsPerReconnect && !unknownHosts.empty(); ++i) {
        const auto &address = unknownHosts[randomBelow(unknownHosts.size())];
        sendTo(address, table_request {}, {m_table.self()});
    }
    const auto dead = randomSample(m_table.select([](const member &other) { return other.state == member_state::dead; }), 1);
    for (const auto &id : dead) {
        sendTo(id, probe {m_nextNumber++, id});
    }
}

void membership::on(const datagram_received &event)
{
    const auto &datagram = event.datagram;
    if (datagram.sender == m_table.selfId()) {
        return;
    }
    for (const auto &update : datagram.updates) {
        applyUpdate(update);
    }
    const auto *sender = m_table.find(datagram.sender);
    if (!sender || sender->subject.incarnationNumber < datagram.incarnationNumber) {
        reply(event, table_request {m_table.self().subject.domain});
    }
    std::visit([&](const auto &message) { onMessage(event, message); }, datagram.message);
    compareDigests(event);
}

void membership::onMessage(const datagram_received &event, const probe &message)
{
    // Does not answer a probe for an earlier daemon at this address.
    if (message.target == m_table.selfId()) {
        reply(event, probe_answer {message.number});
    }
}

void membership::onMessage(const datagram_received &event, const probe_answer &message)
{
    if (const auto relayed = m_relayed.find(message.number); relayed != m_relayed.end()) {
        sendTo(relayed->second.origin, probe_answer {relayed->second.number});
        m_relayed.erase(relayed);
        return;
    }
    const auto pending = m_pending.find(message.number);
    if (pending != m_pending.end() && (pending->second.indirect || pending->second.target == event.datagram.sender)) {
        m_pending.erase(pending);
    }
}

void membership::onMessage(const datagram_received &event, const indirect_probe &message)
{
    const auto *target = m_table.find(message.target);
    if (!target || m_relayed.size() >= m_table.size() * m_settings.indirectProbes) {
        return;
    }
    const auto number = m_nextNumber++;
    m_relayed[number] = {event.datagram.sender, message.number, m_now};
    sendTo(message.target, probe {number, message.target});
}

void membership::onMessage(const datagram_received &event, const table_request &message)
{
    auto updates = m_table.updatesOfDomain(message.domain);
    updates.push_back(m_table.self());
    for (std::size_t begin = 0; begin < updates.size(); begin += m_settings.updatesPerDatagram) {
        if (!m_tableRate.take(m_settings.tableDatagramsPerSecond, m_now)) {
            return;
        }
        const auto end = std::min(begin + m_settings.updatesPerDatagram, updates.size());
        const auto first = updates.begin();
        sendTo(event.from, table_part {}, {first + static_cast<std::ptrdiff_t>(begin), first + static_cast<std::ptrdiff_t>(end)});
    }
}

void membership::compareDigests(const datagram_received &event)
{
    if (m_now - m_lastSync < m_settings.syncInterval) {
        return;
    }
    for (const auto &theirs : event.datagram.digests) {
        if (m_table.digestOf(theirs.domain).digest != theirs.digest) {
            m_lastSync = m_now;
            reply(event, table_request {theirs.domain});
            return;
        }
    }
}

void membership::applyUpdate(const member_update &told)
{
    if (told.subject.id == m_table.selfId()) {
        refute(told);
        return;
    }
    const auto update = downgradeUnconfirmedDeath(told);
    const auto *known = m_table.find(update.subject.id);
    const auto before = known ? std::optional(known->subject) : std::nullopt;
    if (!m_table.apply(update, m_now)) {
        return;
    }
    m_gossipPending = true;
    const auto &subject = update.subject;
    if (subject.state == member_state::suspect) {
        m_suspectSince.try_emplace(subject.id, m_now);
    } else {
        m_suspectSince.erase(subject.id);
    }
    if (!before || subject.state != before->state || subject.incarnationNumber != before->incarnationNumber) {
        m_actions.emplace_back(members_changed {});
    }
}

// When a partition heals, each side reports the members of the other as dead. A member that this daemon has not suspected
// for half of the suspicion timeout becomes suspect first, so that it has time to refute the report.
member_update membership::downgradeUnconfirmedDeath(const member_update &update) const
{
    const auto *known = m_table.find(update.subject.id);
    const bool running = known && (known->subject.state == member_state::alive || known->subject.state == member_state::suspect);
    if (!running || update.subject.state != member_state::dead || update.subject.incarnationNumber != known->subject.incarnationNumber
        || update.refutation != known->refutation) {
        return update;
    }
    const auto since = m_suspectSince.find(update.subject.id);
    if (since != m_suspectSince.end() && m_now - since->second >= suspicionTimeout(update.subject) / 2) {
        return update;
    }
    auto suspicion = update;
    suspicion.subject.state = member_state::suspect;
    return suspicion;
}

milliseconds membership::suspicionTimeout(const member &other) const
{
    return isInOwnDomain(other) ? m_settings.localSuspicionTimeout : m_settings.remoteSuspicionTimeout;
}

void membership::refute(const member_update &update)
{
    auto self = m_table.self();
    if (update.subject.incarnationNumber > self.subject.incarnationNumber) {
        // After a backward step of the clock, a restarted daemon may begin with a smaller incarnation number than its predecessor had.
        if (m_now - m_startedAt > m_settings.joinPeriod) {
            m_superseded = true;
            m_actions.emplace_back(incarnation_superseded {update.subject.incarnationNumber});
            return;
        }
        self.subject.incarnationNumber.value = update.subject.incarnationNumber.value + 1;
        self.refutation = 0;
    } else if (update.subject.incarnationNumber == self.subject.incarnationNumber && supersedes(update, self)) {
        self.refutation = update.refutation + 1;
    } else {
        return;
    }
    m_table.setSelf(self);
    m_gossipPending = true;
    m_actions.emplace_back(members_changed {});
}

void membership::on(const hosts_listed &event)
{
    m_listedHosts.clear();
    for (const auto &host : event.hosts) {
        if (!host.leaving) {
            m_listedHosts.push_back(host);
        }
    }
}

void membership::on(const member_unresponsive &event)
{
    const auto *known = m_table.find(event.id);
    const auto asked = [&](const auto &item) {
        return item.second.target == event.id;
    };
    if (!known || known->subject.state == member_state::dead || event.id == m_table.selfId() || m_suspectSince.contains(event.id)
        || std::any_of(m_pending.begin(), m_pending.end(), asked)) {
        return;
    }
    startProbe(event.id);
}

void membership::on(const leave_started &)
{
    setOwnState(member_state::leaving);
}

void membership::on(const leave_finished &)
{
    setOwnState(member_state::dead);
}

void membership::setOwnState(member_state state)
{
    auto self = m_table.self();
    self.subject.state = state;
    ++self.refutation;
    m_table.setSelf(self);
    m_gossipPending = true;
    m_actions.emplace_back(members_changed {});
}

void membership::sendGossip()
{
    if (!m_gossipPending || !m_gossipRate.take(m_settings.gossipRoundsPerSecond, m_now)) {
        return;
    }
    m_gossipPending = false;
    const auto living = [](const member &other) {
        return other.state != member_state::dead;
    };
    const auto inside = [&](const member &other) {
        return living(other) && isInOwnDomain(other);
    };
    const auto outside = [&](const member &other) {
        return living(other) && !isInOwnDomain(other);
    };
    const auto updates = m_table.takeGossip(m_settings.updatesPerDatagram);
    auto told = randomSample(m_table.select(inside), m_settings.gossipFanout - 1);
    const auto far = randomSample(m_table.select(outside), m_settings.gossipFanout - told.size());
    told.insert(told.end(), far.begin(), far.end());
    for (const auto &id : told) {
        sendTo(m_table.find(id)->subject.control, table_part {}, updates);
    }
}

void membership::sendTo(const daemon_id &id, control_message message)
{
    if (const auto *known = m_table.find(id)) {
        sendTo(known->subject.control, std::move(message), updatesFor(id));
    }
}

void membership::reply(const datagram_received &event, control_message message)
{
    sendTo(event.from, std::move(message), updatesFor(event.datagram.sender));
}

// Includes the receiver's own state when it is suspect or dead here, so that it can refute it at once.
std::vector<member_update> membership::updatesFor(const daemon_id &id) const
{
    std::vector<member_update> updates {m_table.self()};
    const auto *known = m_table.find(id);
    if (known && (known->subject.state == member_state::suspect || known->subject.state == member_state::dead)) {
        updates.push_back(*known);
    }
    return updates;
}

void membership::sendTo(const ip_address &address, control_message message, std::vector<member_update> updates)
{
    m_actions.emplace_back(send_datagram {address, compose(std::move(message), std::move(updates))});
}

control_datagram membership::compose(control_message message, std::vector<member_update> updates)
{
    control_datagram datagram;
    datagram.sender = m_table.selfId();
    datagram.incarnationNumber = m_table.self().subject.incarnationNumber;
    datagram.message = std::move(message);
    datagram.updates = std::move(updates);
    if (datagram.updates.size() < m_settings.updatesPerDatagram) {
        const auto more = m_table.takeGossip(m_settings.updatesPerDatagram - datagram.updates.size());
        datagram.updates.insert(datagram.updates.end(), more.begin(), more.end());
    }
    const auto domains = m_table.domains();
    datagram.digests.push_back(m_table.digestOf(m_table.self().subject.domain));
    datagram.digests.push_back(m_table.digestOf(domains[m_nextDigest++ % domains.size()]));
    return datagram;
}

bool membership::isInOwnDomain(const member &other) const
{
    return other.domain == m_table.self().subject.domain;
}

std::vector<daemon_id> membership::randomSample(std::vector<daemon_id> candidates, std::size_t count)
{
    count = std::min(count, candidates.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(candidates[i], candidates[i + randomBelow(candidates.size() - i)]);
    }
    candidates.resize(count);
    return candidates;
}

std::size_t membership::randomBelow(std::size_t limit)
{
    return m_random(static_cast<pcg32::result_type>(limit));
}

} // namespace daisystile
