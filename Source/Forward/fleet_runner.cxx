#include "fleet_runner.h"

#include <algorithm>

namespace daisystile {

namespace {

// The daemons of a new deployment start almost simultaneously; the first listing is delayed until they have registered.
constexpr milliseconds bootstrapListingDelay {700};
constexpr milliseconds initialListingInterval {800};
constexpr unsigned initialListings = 4;
constexpr milliseconds listingInterval {10000};
// Calls that fail are repeated; the daemons of a fleet that started without the store have all registered by the longest delay
// after its return.
constexpr milliseconds initialRetryDelay {250};
constexpr milliseconds maxRetryDelay {2000};
// All daemons write their entries again when the store has come back from a copy.
constexpr milliseconds minRewriteSpan {1000};
constexpr milliseconds rewriteSpanPerDaemon {5};

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
      m_peers(settings.peers),
      m_queries(settings.queries),
      m_registry({}, m_self),
      m_daemons {m_self},
      m_random(stableHash(randomBytes(8)))
{
}

void fleet_runner::start()
{
    m_startedAt = m_loop.now();
    refreshEntry();
    scheduleListing(m_bootstrap ? bootstrapListingDelay : milliseconds {0});
}

void fleet_runner::leave()
{
    m_leaving = true;
    m_loop.cancelTimer(std::exchange(m_refresh, 0));
    if (!m_writing) {
        removeEntry();
    }
}

// The next process of this id may have started before this one ends.
void fleet_runner::removeEntry()
{
    if (m_written) {
        const auto key = m_registry.entryKey();
        m_store.remove(key, if_version {*m_written}, [key](const remove_result &result) { logUnlessGone(key, result); });
    }
}

void fleet_runner::offerPeers(bool offered)
{
    offer(&fleet_daemon::peers, offered ? m_peers : ip_address {});
}

void fleet_runner::offerQueries(bool offered)
{
    offer(&fleet_daemon::queries, offered ? m_queries : ip_address {});
}

void fleet_runner::offer(ip_address fleet_daemon::*address, const ip_address &offered)
{
    if (m_self.*address == offered) {
        return;
    }
    m_self.*address = offered;
    m_registry.setSelf(m_self);
    refreshEntry();
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

bool fleet_runner::known() const
{
    return m_known;
}

void fleet_runner::takeRelayed(std::vector<fleet_daemon> daemons)
{
    m_relayed = true;
    if (daemons.empty()) {
        return;
    }
    m_known = true;
    if (std::none_of(daemons.begin(), daemons.end(), [this](const auto &daemon) { return daemon.id == m_self.id; })) {
        daemons.push_back(m_self);
    }
    replace(std::move(daemons));
    m_updated();
}

// Without a source nobody tells this daemon of another key.
void fleet_runner::useOwnListings()
{
    m_relayed = false;
    if (m_store.era() > m_peerKeyEra && m_listing != 0) {
        m_peerKeyDoubted = true;
        scheduleListing(spreadDelay());
    }
}

void fleet_runner::writeAgain()
{
    m_loop.cancelTimer(std::exchange(m_refresh, 0));
    scheduleRefresh(spreadDelay());
    // Daemons that follow others learn from them whether the key is another.
    if (!m_relayed && m_listing != 0) {
        m_peerKeyDoubted = true;
        scheduleListing(spreadDelay());
    }
}

milliseconds fleet_runner::spreadDelay()
{
    const auto span = std::max<milliseconds>(minRewriteSpan, rewriteSpanPerDaemon * m_daemons.size());
    std::uniform_int_distribution<milliseconds::rep> delay(0, span.count());
    return milliseconds {delay(m_random)};
}

std::string fleet_runner::peerKeyDigest() const
{
    return m_registry.peerKey().empty() ? std::string() : sha256Hex(m_registry.peerKey());
}

// The other daemon may be the one that doesn't know the present key yet.
void fleet_runner::comparePeerKey(const std::string &digest)
{
    if (digest.empty() || digest == peerKeyDigest() || m_listing == 0 || m_loop.now() < m_peerKeyCheckFrom) {
        return;
    }
    m_peerKeyCheckFrom = m_loop.now() + listingInterval;
    m_peerKeyDoubted = true;
    scheduleListing(spreadDelay());
}

void fleet_runner::refreshEntry()
{
    if (m_leaving) {
        return;
    }
    m_loop.cancelTimer(std::exchange(m_refresh, 0));
    if (m_writing) {
        m_changedWhileWriting = true;
        return;
    }
    m_writing = true;
    m_beat += 1;
    m_store.put(m_registry.entryKey(), m_registry.entryText(m_beat), always {}, [this](const write_result &result) { entryWritten(result); });
}

void fleet_runner::entryWritten(const write_result &result)
{
    m_writing = false;
    const auto *written = std::get_if<object_written>(&result);
    if (written != nullptr) {
        m_written = written->etag;
        m_failedWrites = 0;
        reached();
    }
    if (m_leaving) {
        removeEntry();
    } else if (written == nullptr) {
        DAISYSTILE_LOG(WARNING, "fleet") << "Failed to write this daemon's entry.";
        scheduleRefresh(retryDelay(m_failedWrites++, initialRetryDelay, maxRetryDelay, m_random));
    } else if (std::exchange(m_changedWhileWriting, false)) {
        refreshEntry();
    } else {
        scheduleRefresh(m_registry.refreshInterval(m_daemons.size()));
    }
}

void fleet_runner::scheduleRefresh(milliseconds delay)
{
    m_refresh = m_loop.after(delay, [this] { refreshEntry(); });
}

// Others that could not reach the store either are still waiting to try again.
void fleet_runner::reached()
{
    if (m_completeFrom) {
        return;
    }
    const bool failedBefore = m_failedWrites + m_failedListings > 0;
    m_completeFrom = failedBefore ? m_loop.now() + maxRetryDelay : m_startedAt + (m_bootstrap ? bootstrapListingDelay : milliseconds {0});
}

void fleet_runner::scheduleListing(milliseconds delay)
{
    m_loop.cancelTimer(m_listing);
    m_listing = m_loop.after(delay, [this] { list(); });
}

// A stale listing of a fleet that has just started would be empty, so the first two must be current.
void fleet_runner::list()
{
    m_listing = 0;
    if (m_relayed && !m_registry.peerKey().empty() && !m_peerKeyDoubted) {
        scheduleListing(laterListing());
        return;
    }
    const auto freshness = m_listings < 2 || !m_known || m_peerKeyDoubted ? read_freshness::newest : read_freshness::stale_allowed;
    m_store.list(fleet_registry::keyPrefix, freshness, [this, sentAt = m_loop.now()](const list_result &result) { listed(result, sentAt); });
}

milliseconds fleet_runner::laterListing() const
{
    return std::max(listingInterval, m_registry.refreshInterval(m_daemons.size()) / 3);
}

milliseconds fleet_runner::nextListing() const
{
    const auto regular = m_listings <= initialListings ? initialListingInterval : laterListing();
    if (m_known || !m_completeFrom) {
        return regular;
    }
    return std::min(regular, std::chrono::ceil<milliseconds>(std::max(*m_completeFrom - m_loop.now(), monotonic_time::duration {0})));
}

void fleet_runner::listed(const list_result &result, monotonic_time sentAt)
{
    const auto *entries = std::get_if<object_list>(&result);
    if (entries == nullptr) {
        DAISYSTILE_LOG(WARNING, "fleet") << "Failed to list the daemons." << field("known", m_daemons.size());
        scheduleListing(retryDelay(m_failedListings++, initialRetryDelay, maxRetryDelay, m_random));
        return;
    }
    reached();
    m_failedListings = 0;
    m_listings += 1;
    m_known = m_known || sentAt >= *m_completeFrom;
    m_peerKeyDoubted = false;
    m_peerKeyEra = entries->revision.era;
    const auto keyBefore = m_registry.peerKey();
    m_registry.listed(*entries, m_loop.now());
    if (!keyBefore.empty() && keyBefore != m_registry.peerKey()) {
        DAISYSTILE_LOG(WARNING, "fleet") << "The store holds another peer key; new links use it.";
    }
    removeStaleEntries();
    replace(m_registry.daemons(m_loop.now()));
    writePeerKey();
    scheduleListing(nextListing());
    m_updated();
}

void fleet_runner::removeStaleEntries()
{
    for (const auto &object : m_registry.removable(m_loop.now())) {
        m_store.remove(object.key, if_version {object.etag}, [key = object.key](const remove_result &removal) { logUnlessGone(key, removal); });
    }
}

// The first daemon writes the key, the known one if a store that came back from a copy lacks it. If it doesn't appear in the next listings, the others try too,
// one more per listing.
void fleet_runner::writePeerKey()
{
    const auto own = std::find_if(m_daemons.begin(), m_daemons.end(), [this](const auto &daemon) { return daemon.id == m_self.id; }) - m_daemons.begin();
    if (m_registry.peerKeyListed() || own >= static_cast<std::ptrdiff_t>(m_listings)) {
        return;
    }
    const auto key = m_registry.peerKey().empty() ? sha256Hex(randomBytes(32)) : m_registry.peerKey();
    m_store.put(fleet_registry::peerKeyEntry, fleet_registry::peerKeyText(key), if_absent {}, [](const write_result &result) {
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
