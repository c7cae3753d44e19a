#include "config_spread.h"

#include <algorithm>

namespace daisystile {

config_spread::config_spread(spread_settings settings, member self, std::uint64_t seed, monotonic_time now)
    : m_settings(settings),
      m_self(std::move(self)),
      m_random(seed),
      m_now(now),
      m_startedAt(now),
      m_nextRead(now),
      m_retry(settings.firstRetry),
      m_nextDigest(now),
      m_lastHeard(now)
{
}

std::vector<spread_action> config_spread::decide(const spread_event &event, monotonic_time now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &one) { on(one); }, event);
    checkReady();
    return std::move(m_actions);
}

const config_records &config_spread::records() const
{
    return m_records;
}

std::uint64_t config_spread::number() const
{
    return m_number;
}

bool config_spread::ready() const
{
    return m_ready;
}

bool config_spread::watches() const
{
    return m_watcher;
}

void config_spread::on(const spread_tick &)
{
    if (m_pullUntil && m_now >= *m_pullUntil) {
        m_pullUntil.reset();
    }
    if (m_now >= m_nextDigest) {
        m_nextDigest = m_now + m_settings.digestInterval;
        tellSome(m_settings.digestsInside, m_settings.digestsOutside);
    }
    const bool alone = m_now - m_lastHeard >= m_settings.silence;
    const bool wanted = !m_ready || (m_watcher && !m_watching) || alone || m_target;
    if (wanted && m_now >= m_nextRead) {
        readPlatform();
    }
}

void config_spread::on(const members_told &event)
{
    m_members = event.members;
    std::erase_if(m_members, [this](const member &one) { return one.id == m_self.id || one.state == member_state::dead; });
    chooseWatcher();
}

// Rendezvous hashing: when one member comes or goes, at most one watcher changes.
void config_spread::chooseWatcher()
{
    const auto seed = stableHash(m_self.domain.value);
    const auto own = stableHash(m_self.id.value, seed);
    std::size_t before = 0;
    for (const auto &other : m_members) {
        const bool candidate = other.domain == m_self.domain && other.state == member_state::alive;
        if (candidate && stableHash(other.id.value, seed) > own) {
            before += 1;
        }
    }
    m_watcher = before < m_settings.watchers;
    if (!m_watcher && m_watching) {
        m_watching = false;
        m_actions.emplace_back(stop_watch {});
    }
}

void config_spread::readPlatform()
{
    if (m_listing) {
        return;
    }
    m_listing = true;
    m_nextRead = m_now + m_settings.longestRetry;
    m_actions.emplace_back(list_head {});
}

void config_spread::platformFailed()
{
    m_nextRead = m_now + m_retry;
    m_retry = std::min(m_settings.longestRetry, m_retry * 2);
}

void config_spread::on(const head_listed &event)
{
    m_listing = false;
    const auto *list = std::get_if<object_list>(&event.result);
    if (list == nullptr) {
        platformFailed();
        return;
    }
    m_retry = m_settings.firstRetry;
    config_head newest;
    for (const auto &object : list->objects) {
        auto head = object.key == headKey ? parseHead(object.value) : parsed<config_head>(config_mistakes {});
        if (auto *found = std::get_if<config_head>(&head)) {
            newest = std::move(*found);
        }
    }
    takeHead(newest);
    if (m_watcher && !m_watching) {
        m_watching = true;
        m_actions.emplace_back(watch_head {list->revision});
    }
}

void config_spread::on(const watch_ended &event)
{
    if (!m_watching) {
        return;
    }
    const auto *batch = std::get_if<watch_batch>(&event.result);
    if (batch == nullptr) {
        m_watching = false;
        // Compacted history is read anew at once, a failure after a while.
        m_nextRead = m_now;
        if (std::holds_alternative<platform_unavailable>(event.result)) {
            platformFailed();
        }
        return;
    }
    for (const auto &change : batch->events) {
        auto head = change.object.key == headKey && !change.deleted ? parseHead(change.object.value) : parsed<config_head>(config_mistakes {});
        if (const auto *found = std::get_if<config_head>(&head)) {
            takeHead(*found);
        }
    }
    m_actions.emplace_back(watch_head {batch->revision});
}

void config_spread::on(const change_made &event)
{
    takeHead(event.head);
}

void config_spread::takeHead(const config_head &head)
{
    if (head.number <= m_number) {
        m_platformSeen = true;
        return;
    }
    if (m_target && m_target->number >= head.number) {
        requestRecords();
        return;
    }
    m_target = head;
    requestRecords();
    completeTarget();
}

void config_spread::requestRecords()
{
    for (const auto &[object, entry] : m_target->entries) {
        const auto held = m_records.find(object);
        const auto fetched = m_fetched.find(object);
        const bool known =
            (held != m_records.end() && held->second->change == entry.change) || (fetched != m_fetched.end() && fetched->second->change == entry.change);
        if (known || m_reading.size() >= m_settings.recordsInFlight || !m_reading.insert(object).second) {
            continue;
        }
        m_actions.emplace_back(read_record {object, entry.change});
    }
}

void config_spread::on(const record_read &event)
{
    m_reading.erase(event.object);
    const auto *object = std::get_if<platform_object>(&event.result);
    auto record = object == nullptr ? parsed<config_record>(config_mistakes {}) : parseRecord(object->value);
    if (auto *found = std::get_if<config_record>(&record)) {
        m_fetched[event.object] = std::make_shared<const config_record>(std::move(*found));
    } else {
        // The next read of the head asks for it again; other records in flight go on.
        platformFailed();
        return;
    }
    if (m_target) {
        requestRecords();
        completeTarget();
    }
}

void config_spread::completeTarget()
{
    for (const auto &[object, entry] : m_target->entries) {
        const auto held = m_records.find(object);
        const auto fetched = m_fetched.find(object);
        if (fetched != m_fetched.end() && fetched->second->change == entry.change) {
            continue;
        }
        if (held == m_records.end() || held->second->change != entry.change) {
            return;
        }
    }
    for (const auto &[object, entry] : m_target->entries) {
        const auto fetched = m_fetched.find(object);
        if (fetched != m_fetched.end() && fetched->second->change == entry.change) {
            m_records[object] = fetched->second;
        }
        m_entries[object] = entry;
    }
    m_platformSeen = true;
    advance(m_target->number);
}

void config_spread::advance(std::uint64_t number)
{
    m_number = number;
    if (m_target && m_target->number <= number) {
        m_target.reset();
        m_fetched.clear();
    }
    m_actions.emplace_back(config_changed {});
    tellSome(m_settings.newsInside, m_settings.newsOutside);
}

void config_spread::on(const digest_heard &event)
{
    m_lastHeard = m_now;
    if (event.digest.ready) {
        m_heardReady[event.from] = event.digest.number;
    }
    if (event.digest.number < m_number) {
        tell(event.from);
        return;
    }
    if (event.digest.number > m_number && !m_pullUntil) {
        m_pullUntil = m_now + m_settings.pullTimeout;
        m_actions.emplace_back(send_pull {event.from, {m_number}});
    }
}

void config_spread::on(const pull_heard &event)
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
        if (bytes > m_settings.updateBytes && !update.changes.empty()) {
            update.number = update.changes.back().number;
            break;
        }
        update.changes.push_back({record, number});
    }
    m_actions.emplace_back(send_update {event.from, std::move(update)});
}

void config_spread::on(const update_heard &event)
{
    m_pullUntil.reset();
    const auto &update = event.update;
    // An update that starts after what is held would leave a gap.
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
    if (m_heardReady.count(event.from) > 0 && m_heardReady[event.from] > m_number) {
        m_pullUntil = m_now + m_settings.pullTimeout;
        m_actions.emplace_back(send_pull {event.from, {m_number}});
    }
}

// Each accepted change reaches every daemon that some watcher reaches within seconds, so among several peers that
// serve, one that missed the newest is rare, and several that did are cut off from the platform for longer than that.
bool config_spread::enoughPeers() const
{
    const auto needed = std::max<std::size_t>(1, std::min(m_settings.peersToStart, m_members.size()));
    if (m_heardReady.size() < needed) {
        return false;
    }
    return std::all_of(m_heardReady.begin(), m_heardReady.end(), [this](const auto &heard) { return heard.second <= m_number; });
}

void config_spread::checkReady()
{
    if (m_ready) {
        return;
    }
    const bool patient = m_now - m_startedAt < m_settings.platformPatience;
    if (m_platformSeen || (!patient && enoughPeers())) {
        m_ready = true;
        m_actions.emplace_back(config_changed {});
    }
}

std::vector<daemon_id> config_spread::othersWhere(bool inside) const
{
    std::vector<daemon_id> ids;
    for (const auto &one : m_members) {
        if ((one.domain == m_self.domain) == inside) {
            ids.push_back(one.id);
        }
    }
    return ids;
}

void config_spread::tell(const daemon_id &to)
{
    m_actions.emplace_back(send_digest {to, {m_number, m_ready}});
}

void config_spread::tellSome(unsigned inside, unsigned outside)
{
    for (const bool near : {true, false}) {
        auto ids = othersWhere(near);
        auto count = std::min<std::size_t>(near ? inside : outside, ids.size());
        while (count-- > 0) {
            const auto chosen = m_random(static_cast<std::uint32_t>(ids.size()));
            tell(ids[chosen]);
            ids.erase(ids.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
}

} // namespace daisystile
