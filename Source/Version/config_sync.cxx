#include "config_sync.h"

#include <algorithm>

namespace daisystile {

config_sync::config_sync(config_sync_settings settings, member self, std::uint64_t seed, monotonic_time now)
    : m_settings(settings),
      m_self(std::move(self)),
      m_random(seed),
      m_now(now),
      m_startedAt(now),
      m_nextListAt(now),
      m_retryDelay(settings.initialRetryDelay),
      m_nextDigestAt(now),
      m_lastDigestAt(now)
{
}

std::vector<config_sync_action> config_sync::decide(const config_sync_event &event, monotonic_time now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &one) { on(one); }, event);
    updateReadiness();
    return std::move(m_actions);
}

const config_records &config_sync::records() const
{
    return m_records;
}

std::uint64_t config_sync::number() const
{
    return m_number;
}

bool config_sync::ready() const
{
    return m_ready;
}

bool config_sync::isWatcher() const
{
    return m_isWatcher;
}

void config_sync::on(const config_sync_tick &)
{
    if (m_pullDeadline && m_now >= *m_pullDeadline) {
        m_pullDeadline.reset();
    }
    if (m_now >= m_nextDigestAt) {
        m_nextDigestAt = m_now + m_settings.digestInterval;
        sendDigests(m_settings.digestsToOwnDomain, m_settings.digestsToOtherDomains);
    }
    const bool digestsMissing = m_now - m_lastDigestAt >= m_settings.digestTimeout;
    const bool wanted = !m_ready || (m_isWatcher && !m_watchInFlight) || digestsMissing || m_pendingHead;
    if (wanted && m_now >= m_nextListAt) {
        listHead();
    }
}

void config_sync::on(const members_updated &event)
{
    m_members = event.members;
    std::erase_if(m_members, [this](const member &one) { return one.id == m_self.id || one.state == member_state::dead; });
    updateWatcherRole();
}

// Chooses the watchers of a failure domain by rendezvous hashing: when a member joins or leaves, at most one watcher
// changes.
void config_sync::updateWatcherRole()
{
    const auto seed = stableHash(m_self.domain.value);
    const auto own = stableHash(m_self.id.value, seed);
    std::size_t candidatesAhead = 0;
    for (const auto &other : m_members) {
        const bool candidate = other.domain == m_self.domain && other.state == member_state::alive;
        if (candidate && stableHash(other.id.value, seed) > own) {
            candidatesAhead += 1;
        }
    }
    m_isWatcher = candidatesAhead < m_settings.watchers;
    if (!m_isWatcher && m_watchInFlight) {
        m_watchInFlight = false;
        m_actions.emplace_back(stop_watch {});
    }
}

void config_sync::listHead()
{
    if (m_listInFlight) {
        return;
    }
    m_listInFlight = true;
    m_nextListAt = m_now + m_settings.maxRetryDelay;
    m_actions.emplace_back(list_head {});
}

void config_sync::scheduleRetry()
{
    m_nextListAt = m_now + m_retryDelay;
    m_retryDelay = std::min(m_settings.maxRetryDelay, m_retryDelay * 2);
}

void config_sync::on(const head_listed &event)
{
    m_listInFlight = false;
    const auto *list = std::get_if<object_list>(&event.result);
    if (list == nullptr) {
        scheduleRetry();
        return;
    }
    m_retryDelay = m_settings.initialRetryDelay;
    config_head newest;
    for (const auto &object : list->objects) {
        auto head = object.key == headKey ? parseHead(object.value) : parsed<config_head>(config_errors {});
        if (auto *found = std::get_if<config_head>(&head)) {
            newest = std::move(*found);
        }
    }
    adoptHead(newest);
    if (m_isWatcher && !m_watchInFlight) {
        m_watchInFlight = true;
        m_actions.emplace_back(watch_head {list->revision});
    }
}

void config_sync::on(const watch_ended &event)
{
    if (!m_watchInFlight) {
        return;
    }
    const auto *batch = std::get_if<watch_batch>(&event.result);
    if (batch == nullptr) {
        m_watchInFlight = false;
        // After a compaction the head is listed again immediately, after a failure with a delay.
        m_nextListAt = m_now;
        if (std::holds_alternative<platform_unavailable>(event.result)) {
            scheduleRetry();
        }
        return;
    }
    for (const auto &change : batch->events) {
        auto head = change.object.key == headKey && !change.deleted ? parseHead(change.object.value) : parsed<config_head>(config_errors {});
        if (const auto *found = std::get_if<config_head>(&head)) {
            adoptHead(*found);
        }
    }
    m_actions.emplace_back(watch_head {batch->revision});
}

void config_sync::on(const change_accepted_here &event)
{
    adoptHead(event.head);
}

void config_sync::adoptHead(const config_head &head)
{
    if (head.number <= m_number) {
        m_platformHeadHeld = true;
        return;
    }
    if (m_pendingHead && m_pendingHead->number >= head.number) {
        requestRecords();
        return;
    }
    m_pendingHead = head;
    requestRecords();
    applyPendingHead();
}

void config_sync::requestRecords()
{
    for (const auto &[object, entry] : m_pendingHead->entries) {
        const auto held = m_records.find(object);
        const auto fetched = m_fetchedRecords.find(object);
        const bool available =
            (held != m_records.end() && held->second->change == entry.change) || (fetched != m_fetchedRecords.end() && fetched->second->change == entry.change);
        if (available || m_recordsInFlight.size() >= m_settings.maxRecordsInFlight || !m_recordsInFlight.insert(object).second) {
            continue;
        }
        m_actions.emplace_back(read_record {object, entry.change});
    }
}

void config_sync::on(const record_read &event)
{
    m_recordsInFlight.erase(event.object);
    const auto *object = std::get_if<platform_object>(&event.result);
    auto record = object == nullptr ? parsed<config_record>(config_errors {}) : parseRecord(object->value);
    if (auto *found = std::get_if<config_record>(&record)) {
        m_fetchedRecords[event.object] = std::make_shared<const config_record>(std::move(*found));
    } else {
        // The record is requested again after the next listing of the head. Other reads in flight continue.
        scheduleRetry();
        return;
    }
    if (m_pendingHead) {
        requestRecords();
        applyPendingHead();
    }
}

void config_sync::applyPendingHead()
{
    for (const auto &[object, entry] : m_pendingHead->entries) {
        const auto held = m_records.find(object);
        const auto fetched = m_fetchedRecords.find(object);
        if (fetched != m_fetchedRecords.end() && fetched->second->change == entry.change) {
            continue;
        }
        if (held == m_records.end() || held->second->change != entry.change) {
            return;
        }
    }
    for (const auto &[object, entry] : m_pendingHead->entries) {
        const auto fetched = m_fetchedRecords.find(object);
        if (fetched != m_fetchedRecords.end() && fetched->second->change == entry.change) {
            m_records[object] = fetched->second;
        }
        m_entries[object] = entry;
    }
    m_platformHeadHeld = true;
    advance(m_pendingHead->number);
}

void config_sync::advance(std::uint64_t number)
{
    m_number = number;
    if (m_pendingHead && m_pendingHead->number <= number) {
        m_pendingHead.reset();
        m_fetchedRecords.clear();
    }
    m_actions.emplace_back(config_changed {});
    sendDigests(m_settings.changeDigestsToOwnDomain, m_settings.changeDigestsToOtherDomains);
}

void config_sync::on(const digest_received &event)
{
    m_lastDigestAt = m_now;
    if (event.digest.ready) {
        m_readyPeerNumbers[event.from] = event.digest.number;
    }
    if (event.digest.number < m_number) {
        sendDigest(event.from);
        return;
    }
    if (event.digest.number > m_number && !m_pullDeadline) {
        m_pullDeadline = m_now + m_settings.pullTimeout;
        m_actions.emplace_back(send_pull {event.from, {m_number}});
    }
}

void config_sync::on(const pull_received &event)
{
    std::map<std::uint64_t, config_object> changed;
    for (const auto &[object, entry] : m_entries) {
        if (entry.number > event.pull.since) {
            changed[entry.number] = object;
        }
    }
    config_update update {event.pull.since, m_number, {}};
    std::size_t bytes = 0;
    for (const auto &[number, object] : changed) {
        const auto &record = *m_records.at(object);
        bytes += record.text.size();
        if (bytes > m_settings.maxUpdateBytes && !update.changes.empty()) {
            update.number = update.changes.back().number;
            break;
        }
        update.changes.push_back({record, number});
    }
    m_actions.emplace_back(send_update {event.from, std::move(update)});
}

void config_sync::on(const update_received &event)
{
    m_pullDeadline.reset();
    const auto &update = event.update;
    // An update whose range starts after the held number would leave a gap.
    if (update.since > m_number || update.number <= m_number) {
        return;
    }
    for (const auto &change : update.changes) {
        auto &entry = m_entries[change.record.object];
        if (change.number > entry.number) {
            entry = {change.record.version, change.record.change, change.number};
            m_records[change.record.object] = std::make_shared<const config_record>(change.record);
        }
    }
    advance(update.number);
    if (m_readyPeerNumbers.count(event.from) > 0 && m_readyPeerNumbers[event.from] > m_number) {
        m_pullDeadline = m_now + m_settings.pullTimeout;
        m_actions.emplace_back(send_pull {event.from, {m_number}});
    }
}

// An accepted change reaches every daemon that is connected to some watcher within seconds. One ready peer that missed
// the newest change is therefore rare, and several of them miss it only if they are all cut off from the platform for
// longer than that.
bool config_sync::enoughReadyPeers() const
{
    const auto needed = std::max<std::size_t>(1, std::min(m_settings.minReadyPeers, m_members.size()));
    if (m_readyPeerNumbers.size() < needed) {
        return false;
    }
    return std::all_of(m_readyPeerNumbers.begin(), m_readyPeerNumbers.end(), [this](const auto &peer) { return peer.second <= m_number; });
}

void config_sync::updateReadiness()
{
    if (m_ready) {
        return;
    }
    const bool awaitingPlatform = m_now - m_startedAt < m_settings.platformStartTimeout;
    if (m_platformHeadHeld || (!awaitingPlatform && enoughReadyPeers())) {
        m_ready = true;
        m_actions.emplace_back(config_changed {});
    }
}

std::vector<daemon_id> config_sync::peersInDomain(bool sameDomain) const
{
    std::vector<daemon_id> ids;
    for (const auto &one : m_members) {
        if ((one.domain == m_self.domain) == sameDomain) {
            ids.push_back(one.id);
        }
    }
    return ids;
}

void config_sync::sendDigest(const daemon_id &to)
{
    m_actions.emplace_back(send_digest {to, {m_number, m_ready}});
}

void config_sync::sendDigests(unsigned toOwnDomain, unsigned toOtherDomains)
{
    for (const bool ownDomain : {true, false}) {
        auto ids = peersInDomain(ownDomain);
        auto count = std::min<std::size_t>(ownDomain ? toOwnDomain : toOtherDomains, ids.size());
        while (count-- > 0) {
            const auto chosen = m_random(static_cast<std::uint32_t>(ids.size()));
            sendDigest(ids[chosen]);
            ids.erase(ids.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
}

} // namespace daisystile
