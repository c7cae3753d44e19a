#include "fleet_registry.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

namespace {

std::string textOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return object.is_object() && found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Port 0 if there is no valid address.
ip_address addressOf(const nlohmann::json &object, const char *key)
{
    const auto text = textOf(object, key);
    return leaf::try_handle_all([&]() -> leaf::result<ip_address> { return parseIpAddress(text); }, [] { return ip_address {}; });
}

std::optional<fleet_daemon> readEntry(const platform_object &object)
{
    const auto json = parseForeignJson(object.value);
    const auto domain = textOf(json, "domain");
    if (domain.empty()) {
        return std::nullopt;
    }
    fleet_daemon daemon;
    daemon.id.value = object.key.substr(std::string_view(fleet_registry::keyPrefix).size());
    daemon.domain.value = domain;
    daemon.peers = addressOf(json, "peers");
    daemon.queries = addressOf(json, "queries");
    const auto strength = json.find("strength");
    daemon.strength = strength != json.end() && strength->is_number() ? strength->get<double>() : daemon.strength;
    const bool plausible = daemon.strength >= minStrength && daemon.strength <= maxStrength;
    return plausible ? std::optional(std::move(daemon)) : std::nullopt;
}

} // namespace

fleet_registry::fleet_registry(fleet_registry_limits limits, fleet_daemon self)
    : m_limits(limits),
      m_self(std::move(self))
{
}

void fleet_registry::setSelf(fleet_daemon self)
{
    m_self = std::move(self);
}

void fleet_registry::listed(const object_list &list, monotonic_time now)
{
    std::map<std::string, seen_entry> entries;
    std::map<std::string, std::string> invalid;
    m_peerKeyListed = false;
    for (const auto &object : list.objects) {
        if (object.key == peerKeyEntry) {
            readPeerKey(object);
            continue;
        }
        const auto before = m_entries.find(object.key);
        if (before != m_entries.end() && before->second.object.etag == object.etag) {
            entries.insert(*before);
        } else if (auto daemon = readEntry(object)) {
            entries.emplace(object.key, seen_entry {object, std::move(*daemon), now});
        } else {
            invalid.emplace(object.key, object.etag);
            // The daemon still counts until it has missed its refreshes; a smaller fleet would take more than its share.
            if (before != m_entries.end()) {
                entries.insert(*before);
            }
        }
    }
    keepLostEntries(list, entries, now);
    logNewInvalid(invalid);
    m_invalid = std::move(invalid);
    m_entries = std::move(entries);
}

void fleet_registry::keepLostEntries(const object_list &list, std::map<std::string, seen_entry> &entries, monotonic_time now)
{
    if (list.revision.era > m_era && !m_entries.empty()) {
        m_restoredSince = now;
    }
    m_era = std::max(m_era, list.revision.era);
    if (m_restoredSince && now - *m_restoredSince < m_limits.restoreGrace) {
        entries.insert(m_entries.begin(), m_entries.end());
    }
}

// A key that was read stays if its entry is overwritten.
void fleet_registry::readPeerKey(const platform_object &object)
{
    auto key = textOf(parseForeignJson(object.value), "key");
    if (!key.empty()) {
        m_peerKey = std::move(key);
        m_peerKeyListed = true;
    }
}

// An entry is listed again and again, so it is reported once for each of its versions.
void fleet_registry::logNewInvalid(const std::map<std::string, std::string> &invalid) const
{
    for (const auto &[key, version] : invalid) {
        const auto before = m_invalid.find(key);
        if (before == m_invalid.end() || before->second != version) {
            DAISYSTILE_LOG(WARNING, "fleet") << "Daemon entry is invalid." << field("key", key) << field("revision", version);
        }
    }
}

std::vector<fleet_daemon> fleet_registry::daemons(monotonic_time now) const
{
    const auto maxAge = refreshInterval(m_entries.size()) * m_limits.missedUntilAbsent;
    std::vector<fleet_daemon> found {m_self};
    for (const auto &[key, entry] : m_entries) {
        if (entry.daemon.id != m_self.id && now - entry.changed < maxAge) {
            found.push_back(entry.daemon);
        }
    }
    std::sort(found.begin(), found.end(), [](const auto &left, const auto &right) { return left.id < right.id; });
    return found;
}

std::vector<platform_object> fleet_registry::removable(monotonic_time now) const
{
    const auto maxAge = refreshInterval(m_entries.size()) * m_limits.missedUntilRemoved;
    std::vector<platform_object> found;
    for (const auto &[key, entry] : m_entries) {
        if (entry.daemon.id != m_self.id && now - entry.changed >= maxAge) {
            found.push_back(entry.object);
        }
    }
    return found;
}

milliseconds fleet_registry::refreshInterval(std::size_t daemons) const
{
    const auto refreshSeconds = static_cast<double>(daemons) / m_limits.fleetWritesPerSecond;
    return std::max(m_limits.refresh, milliseconds {static_cast<milliseconds::rep>(refreshSeconds * 1000)});
}

std::string fleet_registry::entryText(std::uint64_t beat) const
{
    return nlohmann::json {{"domain", m_self.domain.value},
        {"peers", toString(m_self.peers)},
        {"queries", toString(m_self.queries)},
        {"strength", m_self.strength},
        {"beat", beat}}
        .dump();
}

const std::string &fleet_registry::peerKey() const
{
    return m_peerKey;
}

bool fleet_registry::peerKeyListed() const
{
    return m_peerKeyListed;
}

std::string fleet_registry::peerKeyText(const std::string &key)
{
    return nlohmann::json {{"key", key}}.dump();
}

std::string fleet_registry::entryKey() const
{
    return keyPrefix + m_self.id.value;
}

} // namespace daisystile
