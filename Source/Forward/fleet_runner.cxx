#include "fleet_runner.h"

#include <algorithm>

namespace daisystile {

namespace {

// The daemons of a new deployment start almost simultaneously; the first listing is delayed until they have registered.
constexpr milliseconds bootstrapListingDelay {700};
constexpr milliseconds initialListingInterval {800};
constexpr unsigned initialListings = 4;
constexpr milliseconds listingInterval {10000};

// Not an error if another daemon has removed the entry or its owner has rewritten it.
void logUnlessGone(const std::string &key, const remove_result &result)
{
    if (std::holds_alternative<write_unknown>(result) || std::holds_alternative<platform_unavailable>(result)) {
        DAISYSTILE_LOG(WARNING, "fleet") << "Daemon entry was not removed." << field("key", key);
    }
}

} // namespace

fleet_runner::fleet_runner(reactor &loop, platform_client &store, const entry_settings &settings, std::function<void()> updated)
    : m_loop(loop),
      m_store(store),
      m_bootstrap(settings.bootstrap),
      m_updated(std::move(updated)),
      m_self {settings.id, settings.domain, settings.peers, settings.queries, settings.strength},
      m_registry({}, m_self),
      m_daemons {m_self}
{
}

void fleet_runner::start()
{
    refreshEntry();
    m_loop.after(m_bootstrap ? bootstrapListingDelay : milliseconds {0}, [this] { list(); });
}

void fleet_runner::leave()
{
    m_leaving = true;
    const auto key = m_registry.entryKey();
    m_store.remove(key, always {}, [key](const remove_result &result) { logUnlessGone(key, result); });
}

const fleet_daemon &fleet_runner::self() const
{
    return m_self;
}

const std::vector<fleet_daemon> &fleet_runner::daemons() const
{
    return m_daemons;
}

const std::string &fleet_runner::peerKey() const
{
    return m_registry.peerKey();
}

void fleet_runner::takeRelayed(std::vector<fleet_daemon> daemons)
{
    m_relayed = true;
    if (daemons.empty()) {
        return;
    }
    if (std::none_of(daemons.begin(), daemons.end(), [this](const auto &daemon) { return daemon.id == m_self.id; })) {
        daemons.push_back(m_self);
    }
    replace(std::move(daemons));
    m_updated();
}

void fleet_runner::useOwnListings()
{
    m_relayed = false;
}

void fleet_runner::refreshEntry()
{
    if (m_leaving) {
        return;
    }
    m_beat += 1;
    m_store.put(m_registry.entryKey(), m_registry.entryText(m_beat), always {}, [](const write_result &result) {
        if (!std::holds_alternative<object_written>(result)) {
            DAISYSTILE_LOG(WARNING, "fleet") << "Failed to write this daemon's entry.";
        }
    });
    m_loop.after(m_registry.refreshInterval(m_daemons.size()), [this] { refreshEntry(); });
}

// A stale listing of a fleet that has just started would be empty, so the first two must be current.
void fleet_runner::list()
{
    const auto later = std::max(listingInterval, m_registry.refreshInterval(m_daemons.size()) / 3);
    if (m_relayed && !m_registry.peerKey().empty()) {
        m_loop.after(later, [this] { list(); });
        return;
    }
    m_listings += 1;
    const auto freshness = m_listings <= 2 ? read_freshness::newest : read_freshness::stale_allowed;
    m_store.list(fleet_registry::keyPrefix, freshness, [this](const list_result &result) { listed(result); });
    m_loop.after(m_listings <= initialListings ? initialListingInterval : later, [this] { list(); });
}

void fleet_runner::listed(const list_result &result)
{
    const auto *list = std::get_if<object_list>(&result);
    if (list == nullptr) {
        DAISYSTILE_LOG(WARNING, "fleet") << "Failed to list the daemons." << field("known", m_daemons.size());
        return;
    }
    m_registry.listed(*list, m_loop.now());
    removeStaleEntries();
    replace(m_registry.daemons(m_loop.now()));
    writePeerKey();
    m_updated();
}

void fleet_runner::removeStaleEntries()
{
    for (const auto &object : m_registry.removable(m_loop.now())) {
        m_store.remove(object.key, if_version {object.etag}, [key = object.key](const remove_result &removal) { logUnlessGone(key, removal); });
    }
}

// The first daemon writes the key. If it doesn't appear in the next listings, the others try too, one more per listing.
void fleet_runner::writePeerKey()
{
    const auto own = std::find_if(m_daemons.begin(), m_daemons.end(), [this](const auto &daemon) { return daemon.id == m_self.id; }) - m_daemons.begin();
    if (!m_registry.peerKey().empty() || own >= static_cast<std::ptrdiff_t>(m_listings)) {
        return;
    }
    m_store.put(fleet_registry::peerKeyEntry, fleet_registry::peerKeyText(sha256Hex(randomBytes(32))), if_absent {}, [](const write_result &result) {
        if (std::holds_alternative<object_written>(result)) {
            DAISYSTILE_LOG(INFO, "fleet") << "Wrote the peer key.";
        } else if (!std::holds_alternative<write_conflict>(result)) {
            DAISYSTILE_LOG(WARNING, "fleet") << "Failed to write the peer key.";
        }
    });
}

void fleet_runner::replace(std::vector<fleet_daemon> daemons)
{
    if (daemons == m_daemons) {
        return;
    }
    DAISYSTILE_LOG(INFO, "fleet") << "Fleet changed." << field("daemons", daemons.size()) << field("learned_from", m_relayed ? "daemon" : "store");
    m_daemons = std::move(daemons);
}

} // namespace daisystile
