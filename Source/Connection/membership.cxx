#include "membership.h"

#include <algorithm>

namespace daisystile {

static constexpr milliseconds relayMemory {2000};
static constexpr std::size_t seedsPerReconnect = 2;

bool rate_allowance::take(double perSecond, monotonic_time now)
{
    const std::chrono::duration<double> passed = now - filled;
    left = std::min(left + passed.count() * perSecond, 2 * perSecond);
    filled = now;
    if (left < 1) {
        return false;
    }
    left -= 1;
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
      m_lastExchange(now - settings.exchangeInterval)
{
    m_news = {settings.newsPerSecond, now};
    m_parts = {2 * settings.partsPerSecond, now};
}

std::vector<membership_action> membership::decide(const membership_event &event, monotonic_time now)
{
    m_now = now;
    m_actions.clear();
    if (!m_superseded) {
        std::visit([this](const auto &some) { on(some); }, event);
        spreadNews();
    }
    return std::move(m_actions);
}

std::vector<member> membership::members() const
{
    return m_table.living();
}

const member_table &membership::table() const
{
    return m_table;
}

void membership::on(const membership_tick &)
{
    forgiveOwnPause();
    checkProbes();
    checkSuspects();
    if (m_now - m_lastProbe >= m_settings.probeInterval) {
        m_lastProbe = m_now;
        probeNext();
    }
    if (m_now - m_lastReconnect >= m_settings.reconnectInterval) {
        m_lastReconnect = m_now;
        reconnect();
        m_table.forgetOldDead(m_now);
    }
}

// Whoever was stopped itself has missed the answers; it must not blame the others.
void membership::forgiveOwnPause()
{
    const auto gap = m_now - m_lastTick;
    m_lastTick = m_now;
    if (gap < m_settings.directTimeout) {
        return;
    }
    m_pending.clear();
    m_lastProbe = m_now;
    for (auto &[id, since] : m_suspects) {
        since += gap;
    }
}

void membership::probeNext()
{
    if (const auto target = nextTarget()) {
        startProbe(*target);
    }
}

std::optional<daemon_id> membership::nextTarget()
{
    const bool outsideTurn = ++m_probesSent % m_settings.outsideEvery == 0;
    const auto outside = [this](const member &other) {
        return other.state != member_state::dead && !isInside(other);
    };
    if (outsideTurn) {
        const auto chosen = chooseSome(m_table.select(outside), 1);
        if (!chosen.empty()) {
            return chosen.front();
        }
    }
    // Each round asks every member of the domain once, in a fresh order, so none waits for long.
    if (m_insideOrder.empty()) {
        const auto inside = [this](const member &other) {
            return other.state != member_state::dead && isInside(other);
        };
        const auto members = m_table.select(inside);
        m_insideOrder = chooseSome(members, members.size());
    }
    while (!m_insideOrder.empty()) {
        const auto id = m_insideOrder.back();
        m_insideOrder.pop_back();
        const auto *known = m_table.find(id);
        if (known && known->about.state != member_state::dead) {
            return id;
        }
    }
    const auto chosen = chooseSome(m_table.select(outside), 1);
    return chosen.empty() ? std::nullopt : std::optional(chosen.front());
}

void membership::startProbe(const daemon_id &target)
{
    const auto *known = m_table.find(target);
    const auto number = m_nextNumber++;
    m_pending[number] = {target, known->about.life, m_now};
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
            askOthersToProbe(found->first, pending);
        }
        ++found;
    }
    for (const auto &pending : failed) {
        suspect(pending.target, pending.life);
    }
    std::erase_if(m_relayed, [this](const auto &item) { return m_now - item.second.sentAt > relayMemory; });
}

void membership::askOthersToProbe(std::uint64_t number, const pending_probe &pending)
{
    const auto *target = m_table.find(pending.target);
    if (!target) {
        return;
    }
    const auto domain = target->about.domain;
    const auto mayHelp = [&](const member &other) {
        return other.state == member_state::alive && other.id != pending.target && (isInside(other) || other.domain == domain);
    };
    for (const auto &helper : chooseSome(m_table.select(mayHelp), m_settings.indirectProbes)) {
        sendTo(helper, indirect_probe {number, pending.target});
    }
}

void membership::suspect(const daemon_id &id, incarnation life)
{
    const auto *known = m_table.find(id);
    if (!known || known->about.life != life || known->about.state == member_state::dead) {
        return;
    }
    auto update = *known;
    // A member that announced its leaving stays known as leaving until it is dead.
    if (update.about.state == member_state::alive) {
        update.about.state = member_state::suspect;
        takeUpdate(update);
    }
    m_suspects.try_emplace(id, m_now);
}

void membership::checkSuspects()
{
    std::vector<member_update> lost;
    for (const auto &[id, since] : m_suspects) {
        const auto *known = m_table.find(id);
        if (m_now - since >= suspicionOf(known->about)) {
            lost.push_back(*known);
        }
    }
    for (auto &update : lost) {
        update.about.state = member_state::dead;
        takeUpdate(update);
    }
}

// The dead are tried so that a partition that heals is noticed; listed hosts so that a new daemon finds the fleet.
void membership::reconnect()
{
    std::vector<ip_address> known;
    for (const auto &id : m_table.select([](const member &other) { return other.state != member_state::dead; })) {
        known.push_back(m_table.find(id)->about.control);
    }
    known.push_back(m_table.self().about.control);
    std::vector<ip_address> strangers;
    for (const auto &host : m_listed) {
        if (std::find(known.begin(), known.end(), host.control) == known.end()) {
            strangers.push_back(host.control);
        }
    }
    for (std::size_t i = 0; i < seedsPerReconnect && !strangers.empty(); ++i) {
        const auto &address = strangers[randomBelow(strangers.size())];
        sendTo(address, table_request {}, {m_table.self()});
    }
    const auto dead = chooseSome(m_table.select([](const member &other) { return other.state == member_state::dead; }), 1);
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
        takeUpdate(update);
    }
    const auto *sender = m_table.find(datagram.sender);
    if (!sender || sender->about.life < datagram.life) {
        reply(event, table_request {m_table.self().about.domain});
    }
    std::visit([&](const auto &message) { onMessage(event, message); }, datagram.message);
    compareDigests(event);
}

void membership::onMessage(const datagram_received &event, const probe &message)
{
    // A probe for an earlier daemon at this address is not answered.
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
    auto updates = m_table.describe(message.domain);
    updates.push_back(m_table.self());
    for (std::size_t begin = 0; begin < updates.size(); begin += m_settings.updatesPerDatagram) {
        if (!m_parts.take(m_settings.partsPerSecond, m_now)) {
            return;
        }
        const auto end = std::min(begin + m_settings.updatesPerDatagram, updates.size());
        const auto first = updates.begin();
        sendTo(event.from, table_part {}, {first + static_cast<std::ptrdiff_t>(begin), first + static_cast<std::ptrdiff_t>(end)});
    }
}

void membership::compareDigests(const datagram_received &event)
{
    if (m_now - m_lastExchange < m_settings.exchangeInterval) {
        return;
    }
    for (const auto &theirs : event.datagram.digests) {
        if (m_table.digestOf(theirs.domain).digest != theirs.digest) {
            m_lastExchange = m_now;
            reply(event, table_request {theirs.domain});
            return;
        }
    }
}

void membership::takeUpdate(const member_update &told)
{
    if (told.about.id == m_table.selfId()) {
        contradict(told);
        return;
    }
    const auto update = softened(told);
    const auto *known = m_table.find(update.about.id);
    const auto before = known ? std::optional(known->about) : std::nullopt;
    if (!m_table.apply(update, m_now)) {
        return;
    }
    m_newsWaiting = true;
    const auto &about = update.about;
    if (about.state == member_state::suspect) {
        m_suspects.try_emplace(about.id, m_now);
    } else {
        m_suspects.erase(about.id);
    }
    if (!before || about.state != before->state || about.life != before->life) {
        m_actions.emplace_back(members_changed {});
    }
}

// When a partition heals, each side tells that the other is dead. Whoever is not suspected here gets time to contradict.
member_update membership::softened(const member_update &update) const
{
    const auto *known = m_table.find(update.about.id);
    const bool running = known && (known->about.state == member_state::alive || known->about.state == member_state::suspect);
    if (!running || update.about.state != member_state::dead || update.about.life != known->about.life || update.refutation != known->refutation) {
        return update;
    }
    const auto since = m_suspects.find(update.about.id);
    if (since != m_suspects.end() && m_now - since->second >= suspicionOf(update.about) / 2) {
        return update;
    }
    auto suspicion = update;
    suspicion.about.state = member_state::suspect;
    return suspicion;
}

milliseconds membership::suspicionOf(const member &other) const
{
    return isInside(other) ? m_settings.suspicionInside : m_settings.suspicionOutside;
}

void membership::contradict(const member_update &update)
{
    auto self = m_table.self();
    if (update.about.life > self.about.life) {
        // A clock that went back may give a new daemon a smaller life than the one before it had.
        if (m_now - m_startedAt > m_settings.joinTime) {
            m_superseded = true;
            m_actions.emplace_back(life_superseded {update.about.life});
            return;
        }
        self.about.life.value = update.about.life.value + 1;
        self.refutation = 0;
    } else if (update.about.life == self.about.life && supersedes(update, self)) {
        self.refutation = update.refutation + 1;
    } else {
        return;
    }
    m_table.setSelf(self);
    m_newsWaiting = true;
    m_actions.emplace_back(members_changed {});
}

void membership::on(const hosts_listed &event)
{
    m_listed.clear();
    for (const auto &host : event.hosts) {
        if (!host.leaving) {
            m_listed.push_back(host);
        }
    }
}

void membership::on(const member_missed &event)
{
    const auto *known = m_table.find(event.id);
    const auto asked = [&](const auto &item) {
        return item.second.target == event.id;
    };
    if (!known || known->about.state == member_state::dead || event.id == m_table.selfId() || m_suspects.contains(event.id)
        || std::any_of(m_pending.begin(), m_pending.end(), asked)) {
        return;
    }
    startProbe(event.id);
}

void membership::on(const leave_started &)
{
    changeSelf(member_state::leaving);
}

void membership::on(const leave_finished &)
{
    changeSelf(member_state::dead);
}

void membership::changeSelf(member_state state)
{
    auto self = m_table.self();
    self.about.state = state;
    ++self.refutation;
    m_table.setSelf(self);
    m_newsWaiting = true;
    m_actions.emplace_back(members_changed {});
}

void membership::spreadNews()
{
    if (!m_newsWaiting || !m_news.take(m_settings.newsPerSecond, m_now)) {
        return;
    }
    m_newsWaiting = false;
    const auto living = [](const member &other) {
        return other.state != member_state::dead;
    };
    const auto inside = [&](const member &other) {
        return living(other) && isInside(other);
    };
    const auto outside = [&](const member &other) {
        return living(other) && !isInside(other);
    };
    const auto updates = m_table.takeUpdates(m_settings.updatesPerDatagram);
    auto told = chooseSome(m_table.select(inside), m_settings.newsFanout - 1);
    const auto far = chooseSome(m_table.select(outside), m_settings.newsFanout - told.size());
    told.insert(told.end(), far.begin(), far.end());
    for (const auto &id : told) {
        sendTo(m_table.find(id)->about.control, table_part {}, updates);
    }
}

void membership::sendTo(const daemon_id &id, control_message message)
{
    if (const auto *known = m_table.find(id)) {
        sendTo(known->about.control, std::move(message), updatesFor(id));
    }
}

void membership::reply(const datagram_received &event, control_message message)
{
    sendTo(event.from, std::move(message), updatesFor(event.datagram.sender));
}

// Whoever is thought lost is told so, and can contradict at once.
std::vector<member_update> membership::updatesFor(const daemon_id &id) const
{
    std::vector<member_update> updates {m_table.self()};
    const auto *known = m_table.find(id);
    if (known && (known->about.state == member_state::suspect || known->about.state == member_state::dead)) {
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
    datagram.life = m_table.self().about.life;
    datagram.message = std::move(message);
    datagram.updates = std::move(updates);
    if (datagram.updates.size() < m_settings.updatesPerDatagram) {
        const auto more = m_table.takeUpdates(m_settings.updatesPerDatagram - datagram.updates.size());
        datagram.updates.insert(datagram.updates.end(), more.begin(), more.end());
    }
    const auto domains = m_table.domains();
    datagram.digests.push_back(m_table.digestOf(m_table.self().about.domain));
    datagram.digests.push_back(m_table.digestOf(domains[m_nextDigest++ % domains.size()]));
    return datagram;
}

bool membership::isInside(const member &other) const
{
    return other.domain == m_table.self().about.domain;
}

std::vector<daemon_id> membership::chooseSome(std::vector<daemon_id> candidates, std::size_t count)
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
