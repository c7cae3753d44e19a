#include "store_follower.h"

#include "mirror_runner.h"
#include "relay_choice.h"
#include "relay_link.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds callTimeout {1000};
constexpr milliseconds watchWait {25000};
constexpr milliseconds watchTimeout {27000};
// The daemons of a new deployment start almost simultaneously; the first listing is delayed until they have registered.
constexpr milliseconds bootstrapListingDelay {700};
constexpr milliseconds bootstrapRelayDelay {700};
constexpr milliseconds initialListingInterval {800};
constexpr unsigned initialListings = 4;
constexpr milliseconds listingInterval {10000};
// A starting daemon that has found no other daemon to follow by then follows the store.
constexpr milliseconds maxSourceSearch {1000};
constexpr milliseconds maxBootstrapSourceSearch {4000};
constexpr milliseconds heartbeatInterval {400};
constexpr milliseconds failedSourceDelay {5000};
constexpr milliseconds storeProbeInterval {2000};
// Each change of the servers causes a call from every daemon, so a larger fleet batches changes over a longer time.
constexpr milliseconds minServersBatchDelay {250};
constexpr milliseconds maxServersBatchDelay {1500};
constexpr milliseconds serversBatchDelayPerDaemon {20};

std::string nameOf(const std::string &key)
{
    return key.substr(key.find('/') + 1);
}

// Not an error if another daemon has removed the entry or its owner has rewritten it.
void logUnlessGone(const std::string &key, const remove_result &result)
{
    if (std::holds_alternative<write_unknown>(result) || std::holds_alternative<platform_unavailable>(result)) {
        DAISYSTILE_LOG(WARNING, "fleet") << "Daemon entry was not removed." << field("key", key);
    }
}

} // namespace

struct store_follower::implementation
{
    implementation(reactor &eventLoop, const entry_settings &entrySettings, std::function<void(std::shared_ptr<const routing_snapshot>)> publishView)
        : loop(eventLoop),
          settings(entrySettings),
          publish(std::move(publishView)),
          http(eventLoop),
          store(http, {.platform = settings.store, .domain = settings.domain, .timeout = callTimeout, .watchWait = watchWait, .watchTimeout = watchTimeout}),
          self {settings.id, settings.domain, settings.peers},
          registry({}, self),
          configuration(loop, store, configurationKeyPrefix, {settings.freshCheck, read_freshness::newest}, {}, [this] { configurationChanged(); }),
          servers(loop,
              store,
              serverKeyPrefix,
              {settings.staleCheck, read_freshness::stale_allowed},
              {.batchDelay = minServersBatchDelay, .lapseGrace = settings.lapseGrace},
              [this] { serversChanged(); }),
          evacuations(loop, store, evacuationKeyPrefix, {settings.reachCheck, read_freshness::stale_allowed}, {}, [this] { evacuationsChanged(); })
    {
        view.fleet = registry.daemons(loop.now());
    }

    void start()
    {
        for (auto *each : {&configuration, &servers, &evacuations}) {
            each->onHistoryLost([this] { reloadAll(); });
            each->onReachabilityChanged([this] { updateFollowers(); });
        }
        refreshEntry();
        loop.after(settings.bootstrap ? bootstrapListingDelay : milliseconds {0}, [this] { listFleet(); });
        loop.after(settings.bootstrap ? maxBootstrapSourceSearch : maxSourceSearch, [this] {
            if (!servers.mirror().known()) {
                followStore();
            }
        });
        sendHeartbeat();
    }

    // Sources.

    void followStore()
    {
        if (servers.following()) {
            return;
        }
        DAISYSTILE_LOG(INFO, "relay") << "Following the store." << field("id", settings.id.value);
        configuration.follow();
        servers.follow();
        evacuations.follow();
    }

    void followDaemon()
    {
        if (servers.following()) {
            DAISYSTILE_LOG(INFO, "relay") << "Following another daemon." << field("source", source->id.value);
            // stopFollowing() cancels a pending read.
            configurationRequest.cancelled();
        }
        configuration.stopFollowing();
        servers.stopFollowing();
        evacuations.stopFollowing();
    }

    void chooseSource()
    {
        const auto chosen = chooseRelaySource(view.fleet, self, failed, loop.now());
        const auto *daemon = std::get_if<use_daemon>(&chosen);
        const bool mayWait = settings.bootstrap || daemon != nullptr;
        if (leaving || (registry.peerKey().empty() && mayWait)) {
            return;
        }
        if (daemon == nullptr) {
            client.reset();
            source.reset();
            followStore();
            return;
        }
        if (client && source && *source == daemon->daemon) {
            return;
        }
        source = daemon->daemon;
        client = std::make_unique<relay_client>(loop,
            source->peers,
            credentials(),
            relay_client::callbacks {.updated = [this](relay_update update) { applyUpdate(std::move(update)); },
                .failed =
                    [this] {
                        sourceFailed();
                    }});
    }

    // May be called from the client's own callback, and again before the client is destroyed.
    void sourceFailed()
    {
        if (!client) {
            return;
        }
        DAISYSTILE_LOG(WARNING, "relay") << "Lost the source daemon." << field("source", source->id.value);
        failed[source->id] = loop.now() + failedSourceDelay;
        if (servers.mirror().known()) {
            followStore();
        }
        loop.post([this, old = std::shared_ptr<relay_client>(std::move(client))] { chooseSource(); });
        loop.after(failedSourceDelay, [this] { chooseSource(); });
    }

    void applyUpdate(relay_update update)
    {
        if (!isUsable({servers.following(), !servers.mirror().storeUnreachable(), update.storeReached})) {
            sourceFailed();
            return;
        }
        followDaemon();
        servers.takeRelayed(toMirror(std::move(update.servers)));
        evacuations.takeRelayed(toMirror(std::move(update.evacuations)));
        if (configurationRequest.due(update.configurationRevision, configurationRevision())) {
            configuration.reload();
        }
        sourceReachesStore = update.storeReached;
        if (!sourceReachesStore && !probing) {
            probing = true;
            probeStore();
        }
    }

    // The store may be unreachable from the source only.
    void probeStore()
    {
        if (sourceReachesStore || servers.following()) {
            probing = false;
            return;
        }
        store.list(evacuationKeyPrefix, read_freshness::stale_allowed, [this](const list_result &result) {
            if (std::holds_alternative<object_list>(result) && !sourceReachesStore && client) {
                sourceFailed();
            }
        });
        loop.after(storeProbeInterval, [this] { probeStore(); });
    }

    peer_credentials credentials() const
    {
        return {{settings.id, incarnationId}, registry.peerKey()};
    }

    // Followers.

    void openRelay()
    {
        relay = std::make_unique<relay_server>(loop, credentials(), [this] { return firstUpdate(); });
        leaf::try_handle_all([&]() -> leaf::result<void> { return relay->listen(settings.peers); },
            [](const process_error &error) { DAISYSTILE_LOG(ERROR, "relay") << "Failed to listen for other daemons: " << error << "."; },
            [] { DAISYSTILE_LOG(ERROR, "relay") << "Failed to listen for other daemons."; });
    }

    // 0 until a configuration is known.
    std::uint64_t configurationRevision() const
    {
        const auto &objects = configuration.mirror().objects();
        const auto found = objects.find(configurationKey);
        return found == objects.end() ? 0 : std::strtoull(found->second.etag.c_str(), nullptr, 10);
    }

    relay_update updateHead() const
    {
        relay_update update;
        update.storeReached = !servers.mirror().storeUnreachable() && !configuration.mirror().storeUnreachable() && !evacuations.mirror().storeUnreachable();
        update.configurationRevision = configurationRevision();
        return update;
    }

    // Nothing is relayed until all of it has been read.
    bool canRelay() const
    {
        return relay && servers.following() && servers.mirror().known() && evacuations.mirror().known() && configuration.mirror().known();
    }

    std::optional<relay_update> firstUpdate()
    {
        if (!canRelay()) {
            return std::nullopt;
        }
        auto update = updateHead();
        update.servers = allOf(servers.mirror());
        update.evacuations = allOf(evacuations.mirror());
        return update;
    }

    void updateFollowers()
    {
        if (!canRelay()) {
            return;
        }
        auto update = updateHead();
        update.servers = sentServers.changes(servers.mirror());
        update.evacuations = sentEvacuations.changes(evacuations.mirror());
        relay->broadcast(update);
    }

    void sendHeartbeat()
    {
        updateFollowers();
        loop.after(heartbeatInterval, [this] { sendHeartbeat(); });
    }

    void reloadAll()
    {
        for (auto *each : {&configuration, &servers, &evacuations}) {
            if (each->following()) {
                each->reload();
            }
        }
    }

    // The current configuration is never replaced by an older version.
    void configurationChanged()
    {
        const auto found = configuration.mirror().objects().find(configurationKey);
        if (found == configuration.mirror().objects().end()) {
            return;
        }
        auto read = readRoutingConfiguration(found->second.value);
        if (const auto *error = std::get_if<malformed_text>(&read)) {
            DAISYSTILE_LOG(ERROR, "store") << "Configuration is invalid." << field("revision", found->second.etag) << field("reason", error->reason);
            return;
        }
        auto &next = std::get<routing_configuration>(read);
        if (view.routes && next.version <= view.routes->configuration().version) {
            return;
        }
        DAISYSTILE_LOG(INFO, "store") << "Configuration in force." << field("version", next.version.value) << field("routes", next.routes.size())
                                      << field("revision", found->second.etag);
        view.routes = std::make_shared<route_table>(std::move(next));
        publishView();
    }

    struct server_seen
    {
        std::string etag;
        std::optional<server_entry> entry;
        monotonic_time readAt;
    };

    void serversChanged()
    {
        auto catalog = std::make_shared<server_catalog>();
        std::map<std::string, server_seen> seen;
        for (const auto &[key, object] : servers.mirror().objects()) {
            auto entry = entryOf(key, object, seen);
            if (entry) {
                catalog->byService[entry->service].push_back(std::move(*entry));
            }
        }
        logRemoved(seen);
        serversSeen = std::move(seen);
        view.servers = std::move(catalog);
        publishView();
    }

    void logRemoved(const std::map<std::string, server_seen> &now) const
    {
        for (const auto &[key, before] : serversSeen) {
            if (!now.contains(key)) {
                DAISYSTILE_LOG(INFO, "servers") << "Backend server is gone." << field("server", nameOf(key)) << field("revision", servers.mirror().revision())
                                                << field("learned_from", learnedFrom());
            }
        }
    }

    std::string_view learnedFrom() const
    {
        return servers.following() ? "store" : "daemon";
    }

    // An entry is parsed once per change; the remaining warm-up time counts from then.
    std::optional<server_entry> entryOf(const std::string &key, const platform_object &object, std::map<std::string, server_seen> &seen)
    {
        const auto before = serversSeen.find(key);
        server_seen now = before != serversSeen.end() && before->second.etag == object.etag ? before->second : readServer(key, object);
        auto entry = now.entry;
        if (entry) {
            const auto passed = std::chrono::duration_cast<milliseconds>(loop.now() - now.readAt);
            entry->coldLeft = std::max(milliseconds {0}, entry->coldLeft - passed);
        }
        seen.emplace(key, std::move(now));
        return entry;
    }

    server_seen readServer(const std::string &key, const platform_object &object)
    {
        auto read = readServerEntry({nameOf(key)}, object.value);
        if (const auto *error = std::get_if<malformed_text>(&read)) {
            DAISYSTILE_LOG(WARNING, "store") << "Backend server entry is invalid." << field("server", nameOf(key)) << field("reason", error->reason);
            return {object.etag, std::nullopt, loop.now()};
        }
        auto &entry = std::get<server_entry>(read);
        DAISYSTILE_LOG(INFO, "servers") << "Backend server changed." << field("server", entry.id.value) << field("service", entry.service.value)
                                        << field("state", entry.draining ? "draining" : "ready") << field("revision", object.etag)
                                        << field("learned_from", learnedFrom());
        return {object.etag, std::move(entry), loop.now()};
    }

    void evacuationsChanged()
    {
        view.evacuated.clear();
        for (const auto &[key, object] : evacuations.mirror().objects()) {
            view.evacuated.insert({nameOf(key)});
        }
        DAISYSTILE_LOG(INFO, "store") << "Evacuated failure domains changed." << field("count", view.evacuated.size());
        publishView();
    }

    void refreshEntry()
    {
        if (leaving) {
            return;
        }
        beat += 1;
        store.put(registry.entryKey(), registry.entryText(beat), always {}, [](const write_result &result) {
            if (!std::holds_alternative<object_written>(result)) {
                DAISYSTILE_LOG(WARNING, "fleet") << "Failed to write this daemon's entry.";
            }
        });
        loop.after(registry.refreshInterval(), [this] { refreshEntry(); });
    }

    // A stale listing of a fleet that has just started would be empty, so the first two must be current.
    void listFleet()
    {
        listings += 1;
        const auto freshness = listings <= 2 ? read_freshness::newest : read_freshness::stale_allowed;
        store.list(fleet_registry::keyPrefix, freshness, [this](const list_result &result) { fleetListed(result); });
        const auto later = std::max(listingInterval, registry.refreshInterval() / 3);
        loop.after(listings <= initialListings ? initialListingInterval : later, [this] { listFleet(); });
    }

    // The first daemon writes the key. If it doesn't appear in the next listings, the others try too, one more per listing.
    void writePeerKey(const std::vector<fleet_daemon> &fleet)
    {
        const auto own = std::find(fleet.begin(), fleet.end(), self) - fleet.begin();
        if (!registry.peerKey().empty() || own >= static_cast<std::ptrdiff_t>(listings)) {
            return;
        }
        store.put(fleet_registry::peerKeyEntry, fleet_registry::peerKeyText(sha256Hex(randomBytes(32))), if_absent {}, [](const write_result &result) {
            if (std::holds_alternative<object_written>(result)) {
                DAISYSTILE_LOG(INFO, "fleet") << "Wrote the peer key.";
            } else if (!std::holds_alternative<write_conflict>(result)) {
                DAISYSTILE_LOG(WARNING, "fleet") << "Failed to write the peer key.";
            }
        });
    }

    void fleetListed(const list_result &result)
    {
        const auto *list = std::get_if<object_list>(&result);
        if (list == nullptr) {
            DAISYSTILE_LOG(WARNING, "fleet") << "Failed to list the daemons." << field("known", view.fleet.size());
            return;
        }
        registry.listed(*list, loop.now());
        for (const auto &object : registry.removable(loop.now())) {
            store.remove(object.key, if_version {object.etag}, [key = object.key](const remove_result &removal) { logUnlessGone(key, removal); });
        }
        auto fleet = registry.daemons(loop.now());
        servers.setBatchDelay(std::clamp<milliseconds>(serversBatchDelayPerDaemon * fleet.size(), minServersBatchDelay, maxServersBatchDelay));
        if (fleet != view.fleet) {
            DAISYSTILE_LOG(INFO, "fleet") << "Fleet changed." << field("daemons", fleet.size());
            view.fleet = std::move(fleet);
            publishView();
        }
        writePeerKey(view.fleet);
        if (!relay && !registry.peerKey().empty()) {
            openRelay();
            loop.after(settings.bootstrap ? bootstrapRelayDelay : milliseconds {0}, [this] { chooseSource(); });
        } else {
            chooseSource();
        }
    }

    void publishView()
    {
        publish(std::make_shared<routing_snapshot>(view));
    }

    bool ready() const
    {
        return configuration.mirror().known() && servers.mirror().known() && evacuations.mirror().known() && view.routes != nullptr;
    }

    reactor &loop;
    entry_settings settings;
    std::function<void(std::shared_ptr<const routing_snapshot>)> publish;
    http_client http;
    platform_client store;
    fleet_daemon self;
    fleet_registry registry;
    routing_snapshot view;
    std::map<std::string, server_seen> serversSeen;
    mirror_runner configuration;
    mirror_runner servers;
    mirror_runner evacuations;
    incarnation incarnationId {stableHash(randomBytes(8))};
    failed_sources failed;
    std::optional<fleet_daemon> source;
    std::unique_ptr<relay_client> client;
    std::unique_ptr<relay_server> relay;
    sent_objects sentServers;
    sent_objects sentEvacuations;
    revision_request configurationRequest;
    std::uint64_t beat = 0;
    unsigned listings = 0;
    bool sourceReachesStore = true;
    bool probing = false;
    bool leaving = false;
};

store_follower::store_follower(reactor &loop, const entry_settings &settings, std::function<void(std::shared_ptr<const routing_snapshot>)> publish)
    : m_implementation(std::make_unique<implementation>(loop, settings, std::move(publish)))
{
}

store_follower::~store_follower() = default;

void store_follower::start()
{
    m_implementation->start();
}

void store_follower::leave()
{
    auto &self = *m_implementation;
    self.leaving = true;
    self.store.remove(self.registry.entryKey(), always {}, [key = self.registry.entryKey()](const remove_result &result) { logUnlessGone(key, result); });
}

bool store_follower::ready() const
{
    return m_implementation->ready();
}

} // namespace daisystile
