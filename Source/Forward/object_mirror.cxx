#include "object_mirror.h"

#include "retry_delay.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace daisystile {

namespace {

store_revision revisionOf(const platform_object &object)
{
    return parseRevision(object.etag);
}

} // namespace

object_mirror::object_mirror(mirror_limits limits, std::uint64_t seed)
    : m_limits(limits),
      m_random(seed)
{
}

mirror_action object_mirror::decide(const mirror_event &event, monotonic_time now)
{
    if (const auto *listed = std::get_if<mirror_listed>(&event)) {
        return onListed(listed->result, now);
    }
    if (const auto *watched = std::get_if<mirror_watched>(&event)) {
        return onWatched(watched->result, now);
    }
    if (const auto *checked = std::get_if<mirror_checked>(&event)) {
        return onChecked(checked->result);
    }
    if (const auto *update = std::get_if<mirror_relayed>(&event)) {
        return onRelayed(*update, now);
    }
    m_mustRead = m_mustRead || std::holds_alternative<reload_requested>(event);
    if (m_mustRead) {
        return read_all_objects {};
    }
    return watch_objects {m_revision};
}

mirror_action object_mirror::onListed(const list_result &result, monotonic_time now)
{
    const auto *list = std::get_if<object_list>(&result);
    if (list == nullptr || list->revision.era < m_revision.era) {
        return failed();
    }
    reached(now);
    advance(list->revision, now);
    const auto missing = missingFrom(list->objects);
    for (const auto &key : missing) {
        remove(key, now);
    }
    for (const auto &object : list->objects) {
        put(object);
    }
    m_mustRead = false;
    m_changes += m_known ? 0 : 1;
    m_known = true;
    return watch_objects {m_revision};
}

mirror_action object_mirror::onWatched(const watch_result &result, monotonic_time now)
{
    if (std::holds_alternative<watch_compacted>(result)) {
        m_mustRead = true;
        return read_all_objects {};
    }
    const auto *batch = std::get_if<watch_batch>(&result);
    if (batch == nullptr || batch->revision.era < m_revision.era) {
        return failed();
    }
    reached(now);
    if (batch->revision.era > m_revision.era) {
        m_mustRead = true;
        return read_all_objects {};
    }
    for (const auto &event : batch->events) {
        if (event.deleted) {
            remove(event.object.key, now);
        } else {
            put(event.object);
        }
    }
    m_revision = batch->revision;
    if (!batch->events.empty() && m_limits.batchDelay.count() > 0) {
        return start_timer {m_limits.batchDelay};
    }
    return watch_objects {m_revision};
}

// After a store has compacted its history, a pending watch may miss changes made meanwhile.
mirror_action object_mirror::onChecked(const list_result &result)
{
    const auto *list = std::get_if<object_list>(&result);
    if (list == nullptr) {
        return failed();
    }
    if (list->revision.era < m_revision.era) {
        return no_action {};
    }
    if (!m_known || m_mustRead || !outdatedBy(*list)) {
        return no_action {};
    }
    m_mustRead = true;
    return read_all_objects {};
}

// An object known at a later revision is kept, and one that is unknown although its revision is covered was removed: a
// source that is cut off from the store may still relay removed objects.
mirror_action object_mirror::onRelayed(const mirror_relayed &update, monotonic_time now)
{
    // Only a whole update says what is left of an earlier era.
    const auto era = update.revision.era;
    if (m_known && (era < m_revision.era || (era > m_revision.era && !update.whole))) {
        return no_action {};
    }
    const bool restored = m_known && era > m_revision.era;
    const auto isNew = [&](const platform_object &object) {
        const auto known = m_objects.find(object.key);
        const auto seen = known == m_objects.end() ? (m_known ? m_revision : store_revision {}) : revisionOf(known->second);
        return restored ? revisionOf(object).era == era || known == m_objects.end() : revisionOf(object) > seen;
    };
    if (restored) {
        advance(update.revision, now);
    }
    const auto gone = update.whole ? missingFrom(update.objects) : update.removed;
    for (const auto &key : gone) {
        const auto known = m_objects.find(key);
        if (known != m_objects.end() && revisionOf(known->second) <= update.revision) {
            remove(key, now);
        }
    }
    for (const auto &object : update.objects) {
        if (isNew(object)) {
            put(object);
        }
    }
    m_revision = std::max(m_revision, update.revision);
    m_changes += m_known ? 0 : 1;
    m_known = true;
    return no_action {};
}

bool object_mirror::outdatedBy(const object_list &list) const
{
    if (list.revision.era > m_revision.era) {
        return true;
    }
    const bool newer = std::any_of(list.objects.begin(), list.objects.end(), [&](const auto &object) {
        const auto known = m_objects.find(object.key);
        return revisionOf(object) > (known == m_objects.end() ? m_revision : revisionOf(known->second));
    });
    if (newer) {
        return true;
    }
    // An object that is not listed although the listing covers its revision was removed.
    const auto missing = missingFrom(list.objects);
    return std::any_of(
        missing.begin(), missing.end(), [&](const auto &key) { return revisionOf(m_objects.at(key)) <= list.revision && !m_lapsed.contains(key); });
}

std::vector<std::string> object_mirror::missingFrom(const std::vector<platform_object> &objects) const
{
    std::set<std::string_view> listed;
    for (const auto &object : objects) {
        listed.insert(object.key);
    }
    std::vector<std::string> missing;
    for (const auto &known : m_objects) {
        if (!listed.contains(known.first)) {
            missing.push_back(known.first);
        }
    }
    return missing;
}

mirror_action object_mirror::failed()
{
    return start_timer {retryDelay(m_failures++, m_limits.initialRetryDelay, m_limits.maxRetryDelay, m_random)};
}

void object_mirror::reached(monotonic_time now)
{
    if (m_failures > 0) {
        m_reachableSince = now;
    }
    m_failures = 0;
}

void object_mirror::advance(const store_revision &revision, monotonic_time now)
{
    if (m_known && revision.era > m_revision.era) {
        m_restoredSince = now;
    }
    m_revision = revision;
}

std::optional<monotonic_time> object_mirror::removalGrace(monotonic_time now) const
{
    std::optional<monotonic_time> until;
    if (m_restoredSince) {
        until = *m_restoredSince + m_limits.restoreGrace;
    }
    if (m_reachableSince) {
        until = std::max(until.value_or(*m_reachableSince), *m_reachableSince + m_limits.lapseGrace);
    }
    return until && now < *until ? until : std::nullopt;
}

void object_mirror::put(const platform_object &object)
{
    m_lapsed.erase(object.key);
    auto &kept = m_objects[object.key];
    if (kept.etag == object.etag) {
        return;
    }
    kept = object;
    m_changes += 1;
}

void object_mirror::remove(const std::string &key, monotonic_time now)
{
    if (!m_objects.contains(key)) {
        return;
    }
    if (const auto until = removalGrace(now)) {
        // The store may come back once more before the object has been written again.
        m_lapsed.insert_or_assign(key, *until);
        return;
    }
    m_lapsed.erase(key);
    m_objects.erase(key);
    m_changes += 1;
}

bool object_mirror::known() const
{
    return m_known;
}

bool object_mirror::upToDate() const
{
    return m_known && !m_mustRead;
}

std::uint64_t object_mirror::changes() const
{
    return m_changes;
}

const std::map<std::string, platform_object> &object_mirror::objects() const
{
    return m_objects;
}

std::optional<monotonic_time> object_mirror::dropLapsed(monotonic_time now)
{
    std::optional<monotonic_time> next;
    for (auto entry = m_lapsed.begin(); entry != m_lapsed.end();) {
        if (entry->second > now) {
            next = next ? std::min(*next, entry->second) : entry->second;
            ++entry;
            continue;
        }
        m_objects.erase(entry->first);
        m_changes += 1;
        entry = m_lapsed.erase(entry);
    }
    return next;
}

void object_mirror::setBatchDelay(milliseconds newDelay)
{
    m_limits.batchDelay = newDelay;
}

const store_revision &object_mirror::revision() const
{
    return m_revision;
}

bool object_mirror::storeUnreachable() const
{
    return m_failures > 0;
}

} // namespace daisystile
