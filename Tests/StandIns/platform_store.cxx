#include "platform_store.h"

#include <algorithm>

namespace daisystile {

// Older events are compacted, so that memory stays bounded in long runs.
static constexpr std::size_t maximumEvents = 20000;

static std::string withoutQuotes(const std::string &etag)
{
    if (etag.size() >= 2 && etag.front() == '"' && etag.back() == '"') {
        return etag.substr(1, etag.size() - 2);
    }
    return etag;
}

bool platform_store::conditionsHold(const std::string &key, const write_conditions &conditions) const
{
    const auto *current = find(key);
    if (conditions.ifAbsent && current != nullptr) {
        return false;
    }
    if (!conditions.ifMatch) {
        return true;
    }
    return current != nullptr && (*conditions.ifMatch == "*" || withoutQuotes(*conditions.ifMatch) == withoutQuotes(current->etag));
}

std::string platform_store::appendEvent(const std::string &key, std::optional<std::string> value, std::string status)
{
    m_revision += 1;
    const auto *before = find(key);
    m_undo.push_back({m_revision, key, before == nullptr ? std::nullopt : std::optional(*before)});
    auto etag = '"' + std::to_string(m_revision) + '"';
    m_events.push_back({m_revision, key, etag, std::move(value), std::move(status)});
    if (m_events.size() > maximumEvents) {
        m_compactedUpTo = m_events.front().revision;
        m_events.pop_front();
    }
    if (m_undo.size() > maximumEvents) {
        m_undo.pop_front();
    }
    return etag;
}

store_result platform_store::put(const std::string &key, std::string value, const write_conditions &conditions)
{
    if (value.size() > maximumValueBytes) {
        return write_error::too_large;
    }
    if (!conditionsHold(key, conditions)) {
        return write_error::precondition_failed;
    }
    const auto *current = find(key);
    auto status = current == nullptr ? std::string() : current->status;
    auto etag = appendEvent(key, value, status);
    m_objects[key] = {key, etag, std::move(value), std::move(status)};
    return etag;
}

store_result platform_store::putStatus(const std::string &key, std::string status, const write_conditions &conditions)
{
    const auto *current = find(key);
    if (current == nullptr || !conditionsHold(key, conditions)) {
        return write_error::precondition_failed;
    }
    auto value = current->value;
    auto etag = appendEvent(key, value, status);
    m_objects[key] = {key, etag, std::move(value), std::move(status)};
    return etag;
}

store_result platform_store::remove(const std::string &key, const write_conditions &conditions)
{
    if (!conditionsHold(key, conditions)) {
        return write_error::precondition_failed;
    }
    if (find(key) == nullptr) {
        return std::string();
    }
    auto etag = appendEvent(key, std::nullopt);
    m_objects.erase(key);
    return etag;
}

const stored_object *platform_store::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::vector<stored_object> platform_store::list(const std::string &prefix) const
{
    std::vector<stored_object> found;
    for (auto entry = m_objects.lower_bound(prefix); entry != m_objects.end() && entry->first.starts_with(prefix); ++entry) {
        found.push_back(entry->second);
    }
    return found;
}

std::uint64_t platform_store::revision() const
{
    return m_revision;
}

std::optional<std::vector<store_event>> platform_store::eventsAfter(const std::string &prefix, std::uint64_t after) const
{
    if (after < m_compactedUpTo || after > m_revision) {
        return std::nullopt;
    }
    std::vector<store_event> found;
    for (auto event = m_events.rbegin(); event != m_events.rend() && event->revision > after; ++event) {
        if (event->key.starts_with(prefix)) {
            found.insert(found.begin(), *event);
        }
    }
    return found;
}

std::uint64_t platform_store::era() const
{
    return m_era;
}

void platform_store::restore(std::uint64_t revision)
{
    for (; !m_undo.empty() && m_undo.back().revision > revision; m_undo.pop_back()) {
        const auto &step = m_undo.back();
        m_objects.erase(step.key);
        if (step.before) {
            m_objects.emplace(step.key, *step.before);
        }
    }
    while (!m_events.empty() && m_events.back().revision > revision) {
        m_events.pop_back();
    }
    m_revision = std::min(m_revision, revision);
    m_compactedUpTo = std::min(m_compactedUpTo, m_revision);
    m_era += 1;
}

void platform_store::compact()
{
    m_events.clear();
    m_compactedUpTo = m_revision;
}

} // namespace daisystile
