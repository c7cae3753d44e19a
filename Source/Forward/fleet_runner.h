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
    /// Removes this daemon's entry.
    void leave();

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

private:
    void refreshEntry();
    void entryWritten(const write_result &result);
    void list();
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
    fleet_registry m_registry;
    std::vector<fleet_daemon> m_daemons;
    std::mt19937_64 m_random;
    std::uint64_t m_beat = 0;
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
