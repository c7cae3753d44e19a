#pragma once

#include "entry_settings.h"
#include "fleet_registry.h"
#include "retry_delay.h"

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace daisystile {

/// Registers this daemon in the store and keeps the list of the fleet's daemons, from own listings or relayed by another daemon.
class fleet_runner
{
public:
    /// The callback is called after each listing and each relayed list.
    fleet_runner(reactor &loop, platform_client &store, const entry_settings &settings, std::function<void()> updated);

    void start();
    /// Removes this daemon's entry, but none that another process of the same id has written since.
    void leave();
    /// Whether other daemons can connect to the address that the settings name; the entry says so.
    void offerPeers(bool offered);
    void offerQueries(bool offered);

    const fleet_daemon &self() const;
    /// All live daemons, including this one, ordered by id.
    const std::vector<fleet_daemon> &daemons() const;
    /// Empty until it is known.
    const std::string &peerKey() const;
    /// False until the daemons were read at a time by which those that started along with this one have registered.
    bool known() const;

    /// Replaces the list by another daemon's; there are no own listings until useOwnListings().
    void takeRelayed(std::vector<fleet_daemon> daemons);
    void useOwnListings();
    /// The store has come back from a copy, which may lack what this daemon wrote, or hold another peer key.
    void writeAgain();
    /// Another daemon knows the peer key with this digest. Reads the daemons again if it isn't the one that is known here.
    void comparePeerKey(const std::string &digest);
    std::string peerKeyDigest() const;

private:
    void offer(ip_address fleet_daemon::*address, const ip_address &offered);
    void refreshEntry();
    void removeEntry();
    void scheduleRefresh(milliseconds delay);
    void entryWritten(const write_result &result);
    void scheduleListing(milliseconds delay);
    void list();
    milliseconds spreadDelay();
    void listed(const list_result &result, monotonic_time sentAt);
    milliseconds nextListing() const;
    void reached();
    milliseconds laterListing() const;
    void removeStaleEntries();
    void writePeerKey();
    void replace(std::vector<fleet_daemon> daemons);

    reactor &m_loop;
    platform_client &m_store;
    bool m_bootstrap;
    std::function<void()> m_updated;
    fleet_daemon m_self;
    ip_address m_peers;
    ip_address m_queries;
    fleet_registry m_registry;
    std::vector<fleet_daemon> m_daemons;
    std::mt19937_64 m_random;
    std::uint64_t m_beat = 0;
    /// Version of the entry as this process last wrote it; nothing until then.
    std::optional<std::string> m_written;
    timer_id m_refresh = 0;
    timer_id m_listing = 0;
    bool m_peerKeyDoubted = false;
    /// Era of the store in which the key was read last.
    std::uint64_t m_peerKeyEra = 0;
    monotonic_time m_peerKeyCheckFrom;
    bool m_writing = false;
    bool m_changedWhileWriting = false;
    /// Listings that succeeded.
    unsigned m_listings = 0;
    unsigned m_failedListings = 0;
    unsigned m_failedWrites = 0;
    /// The daemons that started along with this one have registered by then; nothing until a call to the store has succeeded.
    std::optional<monotonic_time> m_completeFrom;
    monotonic_time m_startedAt;
    bool m_known = false;
    bool m_relayed = false;
    bool m_leaving = false;
};

} // namespace daisystile
