#pragma once

#include <platform/platform.h>

#include <map>
#include <string>
#include <vector>

namespace daisystile {

struct fleet_registry_limits
{
    /// A daemon writes its entry so often, in a small fleet.
    milliseconds refresh {30000};
    /// Writes a second that the whole fleet may make for this.
    double fleetWritesPerSecond = 20;
    /// Refreshes missed until a daemon no longer counts.
    unsigned missedUntilAbsent = 3;
    /// Refreshes missed until anyone may remove the entry.
    unsigned missedUntilRemoved = 12;
};

/// Who the daemons of the fleet are, from entries that each refreshes; nothing in the store expires by itself.
class fleet_registry
{
public:
    fleet_registry(fleet_registry_limits limits, fleet_daemon self);

    /// Takes the entries as listed now.
    void listed(const object_list &list, monotonic_time now);
    /// Daemons that count, this one included, ordered by id.
    std::vector<fleet_daemon> daemons(monotonic_time now) const;
    /// Entries that nobody refreshes any more.
    std::vector<platform_object> removable(monotonic_time now) const;
    /// Time between two refreshes; grows with the fleet.
    milliseconds refreshInterval() const;
    /// The entry to write.
    std::string entryText(std::uint64_t beat) const;
    std::string entryKey() const;

    /// The key by which daemons prove themselves to one another, from its own entry; empty until one is written.
    const std::string &peerKey() const;
    static std::string peerKeyText(const std::string &key);

    static constexpr const char *keyPrefix = "daisystile-daemons/";
    static constexpr const char *peerKeyEntry = "daisystile-daemons/0-peer-key";

private:
    struct seen_entry
    {
        platform_object object;
        fleet_daemon daemon;
        monotonic_time changed;
    };

    fleet_registry_limits m_limits;
    fleet_daemon m_self;
    std::map<std::string, seen_entry> m_entries;
    std::string m_peerKey;
};

} // namespace daisystile
