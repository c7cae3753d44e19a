#include "store_follower.h"

#include "fleet_runner.h"
#include "mirror_runner.h"
#include "relay_choice.h"
#include "relay_link.h"
#include "suspect_board.h"
#include "version_board.h"

#include <algorithm>
#include <limits>

namespace daisystile {

namespace {

constexpr milliseconds callTimeout {1000};
constexpr milliseconds watchWait {25000};
constexpr milliseconds watchTimeout {27000};
// Longer than the pause between the first listings of the daemons: a source that listed them just before the peer key was written
// opens its relay only after the next one.
constexpr milliseconds bootstrapRelayDelay {1200};
// A starting daemon that has found no other daemon to follow by then follows the store.
constexpr milliseconds maxSourceSearch {1000};
constexpr milliseconds maxBootstrapSourceSearch {4000};
constexpr milliseconds heartbeatInterval {400};
// A heartbeat that is later than this shows that the process was paused, and its objects may be outdated.
constexpr milliseconds maxHeartbeatDelay {1000};
// A configuration is large and goes to every follower, so changes in close succession are relayed together.
constexpr milliseconds configurationRelayInterval {500};
constexpr milliseconds failedSourceDelay {5000};
constexpr milliseconds storeProbeInterval {2000};
// A source that still relays an earlier era of the store after this time isn't in touch with it.
constexpr milliseconds maxEarlierEra {1500};
// A daemon that has the rest waits no longer for the list of daemons: those that can't read it serve with a small share of the limits.
constexpr milliseconds maxFleetWait {4000};
// Each change of the servers causes a call from every daemon, so a larger fleet batches changes over a longer time.
constexpr milliseconds minServersBatchDelay {250};
constexpr milliseconds maxServersBatchDelay {1500};
constexpr milliseconds serversBatchDelayPerDaemon {20};

// Far more than a server or a daemon writes about itself.
constexpr std::size_t maxEntryBytes = 16U << 10U;
// The key of an evacuation says all.
constexpr std::size_t maxEvacuationBytes = 0;

std::string nameOf(const std::string &key)
{
    return key.substr(key.find('/') + 1);
}

// Requests with keys are served only for the revocation time after a check, which may fail once or take another way.
milliseconds configurationCheck(const entry_settings &settings)
{
    constexpr int checksPerRevocationTime = 3;
    const auto &bounds = settings.bounds;
    return bounds.strictRevocation ? std::min(settings.freshCheck, bounds.revocationTime / checksPerRevocationTime) : settings.freshCheck;
}

std::map<std::string, std::size_t> maxValueBytes()
{
    const auto kindOf = [](std::string_view prefix) {
        return std::string(prefix.substr(0, prefix.find('/')));
    };
    return {{kindOf(serverKeyPrefix), maxEntryBytes}, {kindOf(evacuationKeyPrefix), maxEvacuationBytes}, {kindOf(fleet_registry::keyPrefix), maxEntryBytes}};
}

} // namespace

struct store_follower::implementation
{
    implementation(reactor &eventLoop, const entry_settings &entrySettings, std::function<void(std::shared_ptr<const routing_snapshot>)> publishView)
        : loop(eventLoop),
          settings(entrySettings),
          publish(std::move(publishView)),
          http(eventLoop),
          store(http,
              {.platform = settings.store,
                  .domain = settings.domain,
                  .timeout = callTimeout,
                  .watchWait = watchWait,
                  .watchTimeout = watchTimeout,
                  .maxValueBytes = maxValueBytes()}),
          fleet(loop, store, settings, [this] { fleetUpdated(); }),
          configuration(loop, store, configurationKeyPrefix, {configurationCheck(settings), read_freshness::newest}, {}, [this] { configurationChanged(); }),
          servers(loop,
              store,
              serverKeyPrefix,
              {settings.staleCheck, read_freshness::stale_allowed},
              {.batchDelay = minServersBatchDelay, .lapseGrace = settings.lapseGrace, .restoreGrace = settings.lapseGrace},
              [this] { serversChanged(); }),
          evacuations(loop,
              store,
              evacuationKeyPrefix,
              {settings.reachCheck, read_freshness::stale_allowed},
              {.restoreGrace = settings.lapseGrace},
              [this] { evacuationsChanged(); }),
          suspects(loop, store, settings, [this] { suspectsChanged(); }),
          versions(loop, store, settings, [this] { versionsChanged(); }),
          quotas(loop, store, settings, [this](claimed_quotas claims, std::function<void(const quota_parts &)> applied) {
              claimed(std::move(claims), std::move(applied));
          })
    {
        view.fleet = fleet.daemons();
        view.fleetKnown = fleet.known();
        view.versions = versions.rules();
    }

    void start()
    {
        for (auto *each : {&configuration, &servers, &evacuations}) {
            each->onHistoryLost([this] { reloadAll(); });
            each->onReachabilityChanged([this] { updateFollowers(); });
        }
        servers.onRevisionChanged([this] { serversRevisionChanged(); });
        configuration.onVerified([this](monotonic_time askedAt) {
            if (configurationReadable) {
                configurationNewest(askedAt);
            }
        });
        store.onNewEra([this] { eraBegan(); });
        fleet.start();
        loop.after(settings.bootstrap ? maxBootstrapSourceSearch : maxSourceSearch, [this] {
            if (!servers.mirror().known()) {
                followStore();
            }
        });
        lastHeartbeat = loop.now();
        sendHeartbeat();
    }

    // Sources.

    void followStore()
    {
        if (servers.following()) {
            return;
        }
        DAISYSTILE_LOG(INFO, "relay") << "Following the store." << field("id", settings.id.value);
        fleet.useOwnListings();
        configuration.follow();
        servers.follow();
        evacuations.follow();
        suspects.objects().follow();
        if (versions.active()) {
            versions.orders().follow();
            versions.bases().follow();
        }
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
        suspects.objects().stopFollowing();
        versions.orders().stopFollowing();
        versions.bases().stopFollowing();
    }

    void chooseSource()
    {
        const auto chosen = chooseRelaySource(fleet.daemons(), fleet.self(), failed, loop.now());
        const auto *daemon = std::get_if<use_daemon>(&chosen);
        const bool mayWait = settings.bootstrap || daemon != nullptr;
        if (leaving || (fleet.peerKey().empty() && mayWait)) {
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

    // Revisions are given out again in an era, so what is known of the one before is read anew. What this daemon wrote may be lost.
    void eraBegan()
    {
        eraKnownSince = loop.now();
        reloadAll();
        fleet.writeAgain();
        suspects.writeAgain();
    }

    // Other calls of this daemon may have told it of an era before its source learned of it.
    bool ofCurrentEra(const relay_update &update)
    {
        store.learnEra(update.era);
        if (update.era == store.era()) {
            return true;
        }
        if (loop.now() - eraKnownSince > maxEarlierEra) {
            sourceFailed();
        }
        return false;
    }

    // Counted from when this daemon asked its source, so that no delay of a message makes it look newer.
    void takeAge(const age_answer &answer)
    {
        if (configurationReadable && configurationRevision() >= answer.configurationRevision) {
            configurationNewest(monotonic_time {microseconds {answer.askedAtUs - answer.ageUs}});
        }
    }

    std::optional<relay_update> answerAge(const age_question &question)
    {
        if (auto counts = question.counts.empty() ? std::nullopt : parseCounts(question.counts)) {
            versions.takeCounts(std::move(*counts));
        }
        if (!canRelay() || !configurationReadable || !configurationNewestAt) {
            return std::nullopt;
        }
        auto update = updateHead();
        const auto age = std::chrono::ceil<microseconds>(loop.now() - *configurationNewestAt);
        update.configurationAge.push_back({question.askedAtUs, age.count(), configurationRevision()});
        return update;
    }

    void configurationNewest(monotonic_time askedAt)
    {
        if (!configurationNewestAt || askedAt > *configurationNewestAt) {
            configurationNewestAt = askedAt;
            newestKnown(askedAt);
        }
    }

    void applyUpdate(relay_update update)
    {
        if (!ofCurrentEra(update)) {
            return;
        }
        if (!isUsable({servers.following(), !servers.mirror().storeUnreachable(), update.storeReached})) {
            sourceFailed();
            return;
        }
        followDaemon();
        // The source ends an evacuation only with what it knows of the servers, so these come first.
        servers.takeRelayed(toMirror(std::move(update.servers)));
        evacuations.takeRelayed(toMirror(std::move(update.evacuations)));
        suspects.objects().takeRelayed(toMirror(std::move(update.suspects)));
        takeVersions(update);
        takeConfiguration(std::move(update.configuration), update.configurationRevision);
        fleet.takeRelayed(toFleet(update.fleet));
        fleet.comparePeerKey(update.peerKeyDigest);
        for (const auto &answer : update.configurationAge) {
            takeAge(answer);
        }
        sourceReachesStore = update.storeReached;
        if (!sourceReachesStore && !probing) {
            probing = true;
            probeStore();
        }
    }

    void takeVersions(relay_update &update)
    {
        if (!versions.active()) {
            return;
        }
        versions.bases().takeRelayed(toMirror(std::move(update.versions)));
        versions.orders().takeRelayed(toMirror(std::move(update.rollouts)));
        if (update.storeReached) {
            versionsHeard(loop.now());
        }
    }

    // A process that has just started reads the configuration from the store, because its source may have been paused and
    // may relay an old one. While the store can't be reached, it takes what the source has.
    void takeConfiguration(relayed_objects relayed, const store_revision &announcedRevision)
    {
        if (!relayed.objects.empty()) {
            heldConfiguration = toMirror(std::move(relayed));
        }
        const bool mayTake = configuration.mirror().known() || configuration.mirror().storeUnreachable();
        if (heldConfiguration && mayTake) {
            const auto taken = *std::exchange(heldConfiguration, std::nullopt);
            configuration.takeRelayed(taken);
            takeVersionInForce(taken);
        }
        if (configurationRequest.due(announcedRevision, configurationRevision())) {
            configuration.reload();
        }
    }

    // A daemon that started since the store has come back may have read an older version there than its source has in force.
    void takeVersionInForce(const mirror_relayed &relayed)
    {
        for (const auto &object : relayed.objects) {
            const auto known = configuration.mirror().objects().find(object.key);
            const bool applied = known != configuration.mirror().objects().end() && known->second.value == object.value;
            if (object.key == configurationKey && !applied && object.value != configurationInForce) {
                putInForce(object);
            }
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
        return {{settings.id, incarnationId}, fleet.peerKey()};
    }

    // Followers.

    void openRelay()
    {
        if (settings.peers.host.empty()) {
            return;
        }
        relay = std::make_unique<relay_server>(loop, credentials(), [this] { return firstUpdate(); });
        relay->onAgeQuestion([this](const age_question &question) { return answerAge(question); });
        if (!leaving) {
            relay->listen(settings.peers, [this](bool listens) { fleet.offerPeers(listens); });
        }
    }

    // 0 until a configuration is known.
    store_revision configurationRevision() const
    {
        const auto &objects = configuration.mirror().objects();
        const auto found = objects.find(configurationKey);
        return found == objects.end() ? store_revision {} : parseRevision(found->second.etag);
    }

    // A store that has come back from a copy may hold an older version for a moment; followers get the one in force.
    std::map<std::string, platform_object> configurationToRelay() const
    {
        auto objects = configuration.mirror().objects();
        const auto found = objects.find(configurationKey);
        if (found != objects.end() && !configurationInForce.empty()) {
            found->second.value = configurationInForce;
        }
        return objects;
    }

    relay_update updateHead() const
    {
        relay_update update;
        update.storeReached = !servers.mirror().storeUnreachable() && !configuration.mirror().storeUnreachable() && !evacuations.mirror().storeUnreachable();
        update.era = store.era();
        update.configurationRevision = relayedConfigurationRevision;
        update.peerKeyDigest = fleet.peerKeyDigest();
        return update;
    }

    // Nothing is relayed until all of it has been read, and read again after a pause of this process.
    bool canRelay() const
    {
        const bool read = servers.mirror().known() && evacuations.mirror().known() && configuration.mirror().known() && versionsKnown();
        const bool late = loop.now() - lastHeartbeat > heartbeatInterval + maxHeartbeatDelay;
        return relay && servers.following() && read && !late && !verifying;
    }

    // An unreachable store ends the verification too: followers are told that it isn't reached.
    void verifyAfterPause()
    {
        const auto now = loop.now();
        if (now - lastHeartbeat > heartbeatInterval + maxHeartbeatDelay) {
            DAISYSTILE_LOG(WARNING, "relay") << "The process was paused; reading all objects again."
                                             << field("paused_ms", std::chrono::duration_cast<milliseconds>(now - lastHeartbeat).count());
            verifying = true;
            reloadAll();
        }
        lastHeartbeat = now;
        const auto mirrors = {&configuration, &servers, &evacuations};
        const auto verified = [](const auto *each) {
            return each->mirror().upToDate() || each->mirror().storeUnreachable();
        };
        verifying = verifying && !std::all_of(mirrors.begin(), mirrors.end(), verified);
    }

    std::optional<relay_update> firstUpdate()
    {
        if (!canRelay()) {
            return std::nullopt;
        }
        auto update = updateHead();
        update.configuration = allOf(configurationToRelay(), configuration.mirror().revision());
        update.servers = allOf(servers.mirror());
        update.evacuations = allOf(evacuationsInForce, evacuations.mirror().revision());
        update.suspects = allOf(suspects.objects().mirror());
        update.rollouts = allOf(versions.orders().mirror());
        update.versions = allOf(versions.bases().mirror());
        update.fleet = fromFleet(fleet.daemons());
        return update;
    }

    void updateFollowers()
    {
        if (!canRelay()) {
            return;
        }
        relayed_objects changedConfiguration;
        if (loop.now() - configurationRelayedAt >= configurationRelayInterval) {
            changedConfiguration = sentConfiguration.changes(configurationToRelay(), configuration.mirror().revision());
        }
        if (!changedConfiguration.objects.empty()) {
            configurationRelayedAt = loop.now();
            relayedConfigurationRevision = configurationRevision();
        }
        auto update = updateHead();
        update.configuration = std::move(changedConfiguration);
        update.servers = sentServers.changes(servers.mirror());
        update.evacuations = sentEvacuations.changes(evacuationsInForce, evacuations.mirror().revision());
        update.suspects = sentSuspects.changes(suspects.objects().mirror());
        update.rollouts = sentRollouts.changes(versions.orders().mirror());
        update.versions = sentVersions.changes(versions.bases().mirror());
        if (sentFleet != fleet.daemons()) {
            sentFleet = fleet.daemons();
            update.fleet = fromFleet(sentFleet);
        }
        relay->broadcast(update);
    }

    void sendHeartbeat()
    {
        verifyAfterPause();
        updateFollowers();
        if (client) {
            client->askAge(versions.ownCounts());
        }
        // The evacuations are listed often enough to tell that the store can be reached.
        const bool reached = versions.orders().mirror().upToDate() && !evacuations.mirror().storeUnreachable();
        if (versions.active() && versions.orders().following() && !verifying && reached) {
            versionsHeard(loop.now());
        }
        loop.after(heartbeatInterval, [this] { sendHeartbeat(); });
    }

    void reloadAll()
    {
        for (auto *each : {&configuration, &servers, &evacuations, &suspects.objects(), &versions.orders(), &versions.bases()}) {
            if (each->following()) {
                each->reload();
            }
        }
    }

    void configurationChanged()
    {
        const auto found = configuration.mirror().objects().find(configurationKey);
        if (found != configuration.mirror().objects().end()) {
            configurationReadable = putInForce(found->second);
            if (heldConfiguration) {
                takeVersionInForce(*std::exchange(heldConfiguration, std::nullopt));
            }
        }
    }

    // The current configuration is never replaced by an older version. Returns whether the object is a configuration.
    bool putInForce(const platform_object &object)
    {
        auto read = readRoutingConfiguration(object.value);
        if (const auto *error = std::get_if<malformed_text>(&read)) {
            DAISYSTILE_LOG(ERROR, "store") << "Configuration is invalid." << field("revision", object.etag) << field("reason", error->reason);
            return false;
        }
        auto &next = std::get<routing_configuration>(read);
        if (view.routes && next.version <= view.routes->configuration().version) {
            return true;
        }
        DAISYSTILE_LOG(INFO, "store") << "Configuration in force." << field("version", next.version.value) << field("routes", next.routes.size())
                                      << field("revision", object.etag);
        view.routes = std::make_shared<route_table>(std::move(next));
        configurationInForce = object.value;
        publishView();
        return true;
    }

    struct server_seen
    {
        std::string etag;
        std::optional<server_entry> entry;
        monotonic_time readAt;
        // It was draining before the store came back from a copy in which it isn't.
        bool drainKept = false;
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
        versions.setServers(view.servers);
        view.versions = versions.rules();
        publishView();
    }

    void logRemoved(const std::map<std::string, server_seen> &now) const
    {
        for (const auto &[key, before] : serversSeen) {
            if (!now.contains(key)) {
                DAISYSTILE_LOG(INFO, "servers") << "Backend server is gone." << field("server", nameOf(key))
                                                << field("revision", toString(servers.mirror().revision())) << field("learned_from", learnedFrom());
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
        const bool drainKept = !entry.draining && drainedBefore(key, object, entry);
        entry.draining = entry.draining || drainKept;
        DAISYSTILE_LOG(INFO, "servers") << "Backend server changed." << field("server", entry.id.value) << field("service", entry.service.value)
                                        << field("state", entry.draining ? "draining" : "ready") << field("revision", object.etag)
                                        << field("learned_from", learnedFrom());
        const auto readAt = coldSince(key, entry);
        return {object.etag, std::move(entry), readAt, drainKept};
    }

    // An entry that is read again from a copy states the warm-up time of when it was written.
    monotonic_time coldSince(const std::string &key, const server_entry &entry) const
    {
        const auto before = serversSeen.find(key);
        const bool same =
            before != serversSeen.end() && before->second.entry && before->second.entry->born == entry.born && before->second.entry->coldLeft == entry.coldLeft;
        return same ? before->second.readAt : loop.now();
    }

    // The store may have lost that a server is draining. Its process still ends, and it says so again.
    bool drainedBefore(const std::string &key, const platform_object &object, const server_entry &entry) const
    {
        const auto before = serversSeen.find(key);
        if (before == serversSeen.end() || !before->second.entry) {
            return false;
        }
        const bool restored = parseRevision(object.etag).era > parseRevision(before->second.etag).era;
        const auto &known = *before->second.entry;
        return (restored || before->second.drainKept) && known.draining && known.born == entry.born && known.address == entry.address;
    }

    void evacuationsChanged()
    {
        std::set<failure_domain_name> domains;
        for (const auto &[key, object] : evacuations.mirror().objects()) {
            domains.insert({nameOf(key)});
        }
        // A source relays nothing of the evacuations that is ahead of the servers.
        const auto serversRevision = servers.following()
            ? servers.mirror().revision()
            : store_revision {std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::uint64_t>::max()};
        gate.evacuationsRead(domains, evacuations.mirror().revision(), serversRevision);
        applyEvacuations();
        readServersForGate();
    }

    void serversRevisionChanged()
    {
        if (!gate.waiting()) {
            return;
        }
        gate.serversRead(servers.mirror().revision());
        if (gate.evacuated() != view.evacuated) {
            applyEvacuations();
        }
        readServersForGate();
    }

    // Deferred, because the mirror of the servers may be in the middle of a step.
    void readServersForGate()
    {
        if (!gate.waiting() || !servers.following()) {
            return;
        }
        loop.post([this] {
            if (gate.waiting() && servers.following()) {
                servers.reload();
            }
        });
    }

    void applyEvacuations()
    {
        auto inForce = evacuations.mirror().objects();
        for (auto &[key, object] : evacuationsInForce) {
            if (gate.waiting({nameOf(key)})) {
                inForce.emplace(key, std::move(object));
            }
        }
        evacuationsInForce = std::move(inForce);
        view.evacuated = gate.evacuated();
        DAISYSTILE_LOG(INFO, "store") << "Evacuated failure domains changed." << field("count", view.evacuated.size())
                                      << field("revision", toString(evacuations.mirror().revision()))
                                      << field("servers_revision", toString(servers.mirror().revision()))
                                      << field("waiting_for_servers", gate.waiting() ? "true" : "false");
        publishView();
    }

    void versionsChanged()
    {
        view.versions = versions.rules();
        publishView();
        updateFollowers();
    }

    void suspectsChanged()
    {
        view.suspects = suspects.shared();
        publishView();
    }

    // Deferred, because a relayed list is handled within a callback of the client that chooseSource() may replace.
    void fleetUpdated()
    {
        servers.setBatchDelay(std::clamp<milliseconds>(serversBatchDelayPerDaemon * fleet.daemons().size(), minServersBatchDelay, maxServersBatchDelay));
        suspects.setFleet(fleet.daemons());
        versions.setFleet(fleet.daemons());
        if (fleet.daemons() != view.fleet || fleet.known() != view.fleetKnown || fleet.peerKey() != view.peerKey) {
            view.fleet = fleet.daemons();
            view.fleetKnown = fleet.known();
            view.peerKey = fleet.peerKey();
            publishView();
        }
        if (relay) {
            relay->setKey(fleet.peerKey());
        }
        const bool first = !relay && !fleet.peerKey().empty();
        if (first) {
            openRelay();
        }
        loop.after(first && settings.bootstrap ? bootstrapRelayDelay : milliseconds {0}, [this] { chooseSource(); });
    }

    // Requests are not routed with half of what decides about them: a domain may be evacuated, or a request quarantined.
    void publishView()
    {
        auto published = std::make_shared<routing_snapshot>(view);
        if (!complete()) {
            published->routes.reset();
        }
        publish(std::move(published));
        limitFleetWait();
    }

    void limitFleetWait()
    {
        if (!complete() || fleet.known() || std::exchange(fleetAwaited, true)) {
            return;
        }
        loop.after(maxFleetWait, [this] {
            fleetWaitOver = true;
            if (!fleet.known()) {
                DAISYSTILE_LOG(WARNING, "fleet") << "Ready without having read the daemons; this one takes a small share of the limits."
                                                 << field("waited_ms", static_cast<std::uint64_t>(maxFleetWait.count()));
            }
        });
    }

    // Until the fleet is known, this daemon's share of the limits is too small for the requests that readiness would attract.
    bool ready() const
    {
        return complete() && (fleet.known() || fleetWaitOver) && servesKeys();
    }

    // Clients with keys would get nothing but refusals.
    bool servesKeys() const
    {
        return !view.routes->keys().keysNeeded() || daisystile::servesKeys(configurationAge(settings.bounds, configurationNewestAt), loop.now());
    }

    bool complete() const
    {
        const auto mirrors = {&configuration, &servers, &evacuations, &suspects.objects()};
        const bool known = std::all_of(mirrors.begin(), mirrors.end(), [](const auto *each) { return each->mirror().known(); });
        return known && versionsKnown() && view.routes != nullptr;
    }

    bool versionsKnown() const
    {
        return !versions.active() || (versions.orders().mirror().known() && versions.bases().mirror().known());
    }

    reactor &loop;
    entry_settings settings;
    std::function<void(std::shared_ptr<const routing_snapshot>)> publish;
    http_client http;
    platform_client store;
    fleet_runner fleet;
    routing_snapshot view;
    std::map<std::string, server_seen> serversSeen;
    mirror_runner configuration;
    mirror_runner servers;
    mirror_runner evacuations;
    evacuation_gate gate;
    // The evacuations that the gate has in force, also those that have ended and wait.
    std::map<std::string, platform_object> evacuationsInForce;
    suspect_board suspects;
    version_board versions;
    quota_board quotas;
    quota_board::claims_consumer claimed;
    incarnation incarnationId {stableHash(randomBytes(8))};
    failed_sources failed;
    std::optional<fleet_daemon> source;
    std::unique_ptr<relay_client> client;
    std::unique_ptr<relay_server> relay;
    sent_objects sentConfiguration;
    sent_objects sentServers;
    sent_objects sentEvacuations;
    sent_objects sentSuspects;
    sent_objects sentRollouts;
    sent_objects sentVersions;
    std::vector<fleet_daemon> sentFleet;
    revision_request configurationRequest;
    // A relayed configuration that may not be taken yet.
    std::optional<mirror_relayed> heldConfiguration;
    monotonic_time configurationRelayedAt;
    store_revision relayedConfigurationRevision;
    // Text of the version in force.
    std::string configurationInForce;
    // Whether the newest text that was read is a configuration.
    bool configurationReadable = false;
    std::optional<monotonic_time> configurationNewestAt;
    std::function<void(monotonic_time)> newestKnown = [](monotonic_time) {
    };
    std::function<void(monotonic_time)> versionsHeard = [](monotonic_time) {
    };
    monotonic_time eraKnownSince;
    monotonic_time lastHeartbeat;
    bool verifying = false;
    bool fleetAwaited = false;
    bool fleetWaitOver = false;
    bool sourceReachesStore = true;
    bool probing = false;
    bool leaving = false;
};

store_follower::store_follower(reactor &loop, const entry_settings &settings, std::function<void(std::shared_ptr<const routing_snapshot>)> publish)
    : m_implementation(std::make_unique<implementation>(loop, settings, std::move(publish)))
{
}

store_follower::~store_follower() = default;

void store_follower::onVersionsHeard(std::function<void(monotonic_time)> callback)
{
    m_implementation->versionsHeard = std::move(callback);
}

void store_follower::countVersions(const daemon_counts &counts)
{
    m_implementation->versions.takeCounts(counts);
}

void store_follower::start()
{
    m_implementation->start();
}

void store_follower::onConfigurationNewest(std::function<void(monotonic_time)> callback)
{
    m_implementation->newestKnown = std::move(callback);
}

void store_follower::onQuotaClaims(quota_board::claims_consumer consumer)
{
    m_implementation->claimed = std::move(consumer);
}

void store_follower::wantQuotas(quota_parts parts)
{
    m_implementation->quotas.want(std::move(parts));
}

void store_follower::keepQuotas(bool keeper)
{
    m_implementation->quotas.keep(keeper);
}

void store_follower::shareSuspects(std::vector<suspect_record> records)
{
    m_implementation->suspects.share(std::move(records));
}

void store_follower::leave()
{
    auto &self = *m_implementation;
    self.leaving = true;
    if (self.relay) {
        self.relay->stopListening();
    }
    self.fleet.leave();
}

void store_follower::offerQueries(bool offered)
{
    m_implementation->fleet.offerQueries(offered);
}

bool store_follower::ready() const
{
    return m_implementation->ready();
}

} // namespace daisystile
