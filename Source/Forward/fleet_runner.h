#pragma once

#include "entry_settings.h"
#include "fleet_registry.h"

#include <functional>
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

    /// Replaces the list by another daemon's; there are no own listings until useOwnListings().
    void takeRelayed(std::vector<fleet_daemon> daemons);
    void useOwnListings();

private:
    void refreshEntry();
    void list();
    void listed(const list_result &result);
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
    std::uint64_t m_beat = 0;
    unsigned m_listings = 0;
    bool m_relayed = false;
    bool m_leaving = false;
};

} // namespace daisystile
