#pragma once

#include <platform/platform.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisystile {

struct fleet_registry_limits
{
    /// Refresh interval in a small fleet.
    milliseconds refresh {30000};
    /// Limit on the refreshes that the whole fleet writes per second.
    double fleetWritesPerSecond = 5;
    /// Number of missed refreshes after which a daemon counts as absent.
    unsigned missedUntilAbsent = 3;
    /// Number of missed refreshes after which any daemon may remove the entry.
    unsigned missedUntilRemoved = 12;
    /// How long daemons are kept that a store lacks which has come back from a copy; they write their entries again.
    milliseconds restoreGrace {10000};
};

/// Tracks the daemons of the fleet by entries that each one refreshes. Absence is detected here, because the store expires nothing.
class fleet_registry
{
public:
    fleet_registry(fleet_registry_limits limits, fleet_daemon self);

    /// Replaces what this daemon says about itself.
    void setSelf(fleet_daemon self);
    /// Processes a listing of the entries.
    void listed(const object_list &list, monotonic_time now);
    /// Live daemons, including this one, ordered by id.
    std::vector<fleet_daemon> daemons(monotonic_time now) const;
    /// Stale entries that may be removed.
    std::vector<platform_object> removable(monotonic_time now) const;
    /// Time between two refreshes in a fleet of this many daemons.
    milliseconds refreshInterval(std::size_t daemons) const;
    /// Value and key of this daemon's own entry.
    std::string entryText(std::uint64_t beat) const;
    std::string entryKey() const;

    /// The shared key that authenticates daemons to one another, stored in an entry of its own; empty until it is known.
    const std::string &peerKey() const;
    /// Whether the last listing had the key.
    bool peerKeyListed() const;
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

    void readPeerKey(const platform_object &object);
    void keepLostEntries(const object_list &list, std::map<std::string, seen_entry> &entries, monotonic_time now);
    void logNewInvalid(const std::map<std::string, std::string> &invalid) const;

    fleet_registry_limits m_limits;
    fleet_daemon m_self;
    std::map<std::string, seen_entry> m_entries;
    // Versions of the entries that can't be read, by key.
    std::map<std::string, std::string> m_invalid;
    std::string m_peerKey;
    bool m_peerKeyListed = false;
    std::uint64_t m_era = 0;
    std::optional<monotonic_time> m_restoredSince;
};

} // namespace daisystile
