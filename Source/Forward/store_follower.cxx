#include "store_follower.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds callTimeout {1500};
constexpr milliseconds watchWait {25000};
constexpr milliseconds watchTimeout {27000};
constexpr milliseconds firstListing {700};
constexpr milliseconds secondListing {3000};
constexpr milliseconds listingInterval {10000};
constexpr milliseconds lapseCheck {250};
// Each change of the servers is a call of every daemon, so a larger fleet fetches more changes at once.
constexpr milliseconds shortestServersPace {250};
constexpr milliseconds longestServersPace {1500};
constexpr milliseconds serversPacePerDaemon {20};

using mirror_changed = std::function<void()>;

/// How a runner finds out that its watch is deaf.
struct deafness_check
{
    milliseconds interval;
    read_freshness freshness;
};

/// Drives one mirror by calls to the store.
class mirror_runner
{
public:
    mirror_runner(reactor &loop, platform_client &store, std::string prefix, deafness_check deafness, mirror_limits limits, mirror_changed changed)
        : m_loop(loop),
          m_deafness(deafness),
          m_store(store),
          m_prefix(std::move(prefix)),
          m_mirror(limits, stableHash(randomBytes(8))),
          m_changed(std::move(changed))
    {
    }

    void start()
    {
        step(mirror_begun {});
        check();
    }

    const object_mirror &mirror() const
    {
        return m_mirror;
    }

    /// The store dropped its history, so a waiting watch may have missed changes.
    void readAnew()
    {
        if (m_watch != 0) {
            step(mirror_outdated {});
        }
    }

    void onHistoryLost(std::function<void()> callback)
    {
        m_historyLost = std::move(callback);
    }

    void setPace(milliseconds pace)
    {
        m_mirror.setPace(pace);
    }

private:
    void step(const mirror_event &event)
    {
        const bool wasAway = m_mirror.storeAway();
        const auto before = m_mirror.changes();
        const auto action = m_mirror.decide(event, m_loop.now());
        const auto *watched = std::get_if<mirror_watched>(&event);
        if (watched != nullptr && std::holds_alternative<watch_compacted>(watched->result)) {
            DAISYSTILE_LOG(WARNING, "store") << "History is gone; all is read anew." << field("prefix", m_prefix);
            m_historyLost();
        }
        if (wasAway != m_mirror.storeAway()) {
            DAISYSTILE_LOG(WARNING, "store") << (wasAway ? "Store is back." : "Store can't be reached.") << field("prefix", m_prefix);
        }
        if (before != m_mirror.changes()) {
            m_changed();
        }
        dropLapsed();
        carryOut(action);
    }

    void carryOut(const mirror_action &action)
    {
        std::visit([this](const auto &each) { start(each); }, action);
    }

    // Each call replaces the one before; an answer that comes for an earlier one is dropped.
    void start(const watch_objects &watch)
    {
        m_call += 1;
        m_watch = m_store.watch(m_prefix, watch.after, [this, call = m_call](watch_result result) {
            if (call == m_call) {
                m_watch = 0;
                step(mirror_watched {std::move(result)});
            }
        });
    }

    void start(const wait_for_store &wait)
    {
        m_call += 1;
        m_loop.after(wait.delay, [this, call = m_call] {
            if (call == m_call) {
                step(mirror_timer {});
            }
        });
    }

    void start(const read_all_objects &)
    {
        m_call += 1;
        m_store.cancel(m_watch);
        m_watch = 0;
        m_store.list(m_prefix, read_freshness::newest, [this, call = m_call](list_result result) {
            if (call == m_call) {
                step(mirror_listed {std::move(result)});
            }
        });
    }

    void start(const keep_waiting &)
    {
    }

    // Only a waiting watch can be deaf.
    void check()
    {
        m_loop.after(m_deafness.interval, [this] { check(); });
        if (m_watch == 0) {
            return;
        }
        m_store.list(m_prefix, m_deafness.freshness, [this, call = m_call](list_result result) {
            if (call == m_call) {
                step(mirror_checked {std::move(result)});
            }
        });
    }

    void dropLapsed()
    {
        const auto before = m_mirror.changes();
        const auto next = m_mirror.dropLapsed(m_loop.now());
        if (before != m_mirror.changes()) {
            m_changed();
        }
        if (next && !m_lapseTimer) {
            m_lapseTimer = true;
            m_loop.after(lapseCheck, [this] {
                m_lapseTimer = false;
                dropLapsed();
            });
        }
    }

    reactor &m_loop;
    deafness_check m_deafness;
    platform_client &m_store;
    std::string m_prefix;
    object_mirror m_mirror;
    mirror_changed m_changed;
    std::function<void()> m_historyLost = [] {};
    http_call_id m_watch = 0;
    std::uint64_t m_call = 0;
    bool m_lapseTimer = false;
};

std::string nameOf(const std::string &key)
{
    return key.substr(key.find('/') + 1);
}

} // namespace

struct store_follower::implementation
{
    implementation(reactor &eventLoop, const entry_settings &entrySettings, std::function<void(std::shared_ptr<const entry_view>)> publishView)
        : loop(eventLoop),
          settings(entrySettings),
          publish(std::move(publishView)),
          http(eventLoop),
          store(http, {.platform = settings.store, .domain = settings.domain, .timeout = callTimeout, .watchWait = watchWait, .watchTimeout = watchTimeout}),
          registered({}, {settings.id, settings.domain}),
          configuration(loop, store, configurationKeyPrefix, {settings.freshCheck, read_freshness::newest}, {}, [this] { configurationChanged(); }),
          servers(loop, store, serverKeyPrefix, {settings.staleCheck, read_freshness::stale_allowed}, {.pace = shortestServersPace, .lapseGrace = settings.lapseGrace}, [this] { serversChanged(); }),
          evacuations(loop, store, evacuationKeyPrefix, {settings.staleCheck, read_freshness::stale_allowed}, {}, [this] { evacuationsChanged(); })
    {
        view.fleet = registered.daemons(loop.now());
    }

    void start()
    {
        configuration.onHistoryLost([this] { readAllAnew(); });
        servers.onHistoryLost([this] { readAllAnew(); });
        evacuations.onHistoryLost([this] { readAllAnew(); });
        configuration.start();
        servers.start();
        evacuations.start();
        refreshEntry();
        loop.after(firstListing, [this] { listFleet(secondListing); });
    }

    void readAllAnew()
    {
        configuration.readAnew();
        servers.readAnew();
        evacuations.readAnew();
    }

    // A version older than the one in force never comes back.
    void configurationChanged()
    {
        const auto found = configuration.mirror().objects().find(configurationKey);
        if (found == configuration.mirror().objects().end()) {
            return;
        }
        auto read = readRoutingConfiguration(found->second.value);
        if (const auto *mistake = std::get_if<unreadable_text>(&read)) {
            DAISYSTILE_LOG(ERROR, "store") << "Configuration can't be read." << field("revision", found->second.etag) << field("reason", mistake->reason);
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
        serversSeen = std::move(seen);
        view.servers = std::move(catalog);
        publishView();
    }

    struct server_seen
    {
        std::string etag;
        std::optional<server_entry> entry;
        monotonic_time readAt;
    };

    // An entry is read once; how long a server is still cold counts from then.
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
        if (const auto *mistake = std::get_if<unreadable_text>(&read)) {
            DAISYSTILE_LOG(WARNING, "store") << "Entry of a backend server can't be read." << field("server", nameOf(key)) << field("reason", mistake->reason);
            return {object.etag, std::nullopt, loop.now()};
        }
        return {object.etag, std::get<server_entry>(std::move(read)), loop.now()};
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
        store.put(registered.entryKey(), registered.entryText(beat), always {}, [](const write_result &result) {
            if (!std::holds_alternative<object_written>(result)) {
                DAISYSTILE_LOG(WARNING, "fleet") << "Own entry was not written.";
            }
        });
        loop.after(registered.refreshInterval(), [this] { refreshEntry(); });
    }

    void listFleet(milliseconds next)
    {
        store.list(fleet_register::keyPrefix, read_freshness::stale_allowed, [this](const list_result &result) { fleetListed(result); });
        loop.after(next, [this] { listFleet(std::max(listingInterval, registered.refreshInterval() / 3)); });
    }

    void fleetListed(const list_result &result)
    {
        const auto *list = std::get_if<object_list>(&result);
        if (list == nullptr) {
            return;
        }
        registered.listed(*list, loop.now());
        for (const auto &object : registered.removable(loop.now())) {
            store.remove(object.key, if_version {object.etag}, [](const remove_result &) {});
        }
        auto fleet = registered.daemons(loop.now());
        servers.setPace(std::clamp<milliseconds>(serversPacePerDaemon * fleet.size(), shortestServersPace, longestServersPace));
        if (fleet != view.fleet) {
            DAISYSTILE_LOG(INFO, "fleet") << "Fleet changed." << field("daemons", fleet.size());
            view.fleet = std::move(fleet);
            publishView();
        }
    }

    void publishView()
    {
        publish(std::make_shared<entry_view>(view));
    }

    bool ready() const
    {
        return configuration.mirror().known() && servers.mirror().known() && evacuations.mirror().known() && view.routes != nullptr;
    }

    reactor &loop;
    entry_settings settings;
    std::function<void(std::shared_ptr<const entry_view>)> publish;
    http_client http;
    platform_client store;
    fleet_register registered;
    entry_view view;
    std::map<std::string, server_seen> serversSeen;
    mirror_runner configuration;
    mirror_runner servers;
    mirror_runner evacuations;
    std::uint64_t beat = 0;
    bool leaving = false;
};

store_follower::store_follower(reactor &loop, const entry_settings &settings, std::function<void(std::shared_ptr<const entry_view>)> publish)
    : m_implementation(std::make_unique<implementation>(loop, settings, std::move(publish)))
{
}

store_follower::~store_follower() = default;

void store_follower::start()
{
    m_implementation->start();
}

void store_follower::leave(std::function<void()> done)
{
    auto &self = *m_implementation;
    self.leaving = true;
    self.store.remove(self.registered.entryKey(), always {}, [done = std::move(done)](const remove_result &) { done(); });
}

bool store_follower::ready() const
{
    return m_implementation->ready();
}

} // namespace daisystile
