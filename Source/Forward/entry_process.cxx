#include "entry_process.h"

#include "client_server.h"
#include "delegation_server.h"
#include "drain_plan.h"
#include "quarantine_api.h"
#include "store_follower.h"

#include <nlohmann/json.hpp>

#include <malloc.h>
#include <thread>

namespace daisystile {

namespace {

constexpr milliseconds drainCheck {50};
constexpr milliseconds settingsCheck {10000};
// Operators send small bodies, a few at a time.
constexpr std::size_t maxOperatorBodyBytes = 4U << 20U;
constexpr int statusNotFound = 404;
constexpr int statusReady = 200;
constexpr int statusNotReady = 503;

// Memory of large buffers goes back to the system when they are freed. By default the allocator would keep it, with gaps.
void returnLargeBuffers()
{
    constexpr int minBytes = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, minBytes);
}

entry_settings withBoundsAndTimes(entry_settings settings, const entry_settings &from)
{
    settings.bounds = from.bounds;
    settings.grace = from.grace;
    settings.lapseGrace = from.lapseGrace;
    return settings;
}

} // namespace

struct entry_process::implementation
{
    implementation(entry_settings entrySettings, settings_reader settingsReader)
        : settings(std::move(entrySettings)),
          readSettingsAgain(std::move(settingsReader)),
          requests(traffic, settings, registry),
          clients(traffic, requests, registry),
          delegations(traffic, requests, requests.quotaKeeper(), settings),
          quarantine(control, traffic, requests, settings.operatorTokenDigest),
          store(control, settings, [this](std::shared_ptr<const routing_snapshot> view) { publish(std::move(view)); }),
          signals(
              control,
              [this] { startDraining(); },
              [this] { reload(); })
    {
        delegations.onListening([this](bool listens) { control.post([this, listens] { store.offerQueries(listens); }); });
        store.onConfigurationNewest([this](monotonic_time askedAt) { traffic.post([this, askedAt] { requests.setConfigurationNewestAt(askedAt); }); });
        store.onVersionsHeard([this](monotonic_time heardAt) { traffic.post([this, heardAt] { requests.setVersionsHeardAt(heardAt); }); });
        requests.onVersionsCounted([this](const daemon_counts &counts) { control.post([this, counts] { store.countVersions(counts); }); });
        connectQuotas();
        requests.onSuspectsChanged(
            [this](std::vector<suspect_record> records) { control.post([this, records = std::move(records)] { store.shareSuspects(records); }); });
    }

    // Claims are held on the control thread, which talks to the store, and used on the traffic thread.
    void connectQuotas()
    {
        requests.quotaKeeper().onWanted(
            [this](quota_parts parts) { control.post([this, parts = std::move(parts)]() mutable { store.wantQuotas(std::move(parts)); }); });
        requests.quotas().onKeeping([this](bool keeper) { control.post([this, keeper] { store.keepQuotas(keeper); }); });
        store.onQuotaClaims([this](claimed_quotas claims, std::function<void(const quota_parts &)> applied) {
            traffic.post([this, claims = std::move(claims), applied = std::move(applied)]() mutable {
                auto held = requests.quotaKeeper().setClaims(std::move(claims));
                control.post([held = std::move(held), applied = std::move(applied)] { applied(held); });
            });
        });
    }

    // Also detects changes of the settings file that are not followed by SIGHUP.
    void watchSettings()
    {
        control.after(settingsCheck, [this] { watchSettings(); });
        reload();
    }

    // The bounds and grace times are applied at run time; addresses and names need a restart. The file is read again and again,
    // so what awaits a restart is said once.
    void reload()
    {
        const auto again = readSettingsAgain();
        if (!again) {
            return;
        }
        const auto next = withBoundsAndTimes(settings, *again);
        const auto pending = withBoundsAndTimes(*again, settings);
        if (pending != settings && pending != withBoundsAndTimes(awaitingRestart, settings)) {
            DAISYSTILE_LOG(WARNING, "daemon") << "Changes to addresses or names take effect after a restart." << field("id", settings.id.value);
        }
        awaitingRestart = pending;
        if (next == settings) {
            return;
        }
        settings = next;
        DAISYSTILE_LOG(INFO, "daemon") << "Settings reloaded." << field("grace_ms", static_cast<std::uint64_t>(settings.grace.count()));
        traffic.post([this, bounds = next.bounds] { requests.setBounds(bounds); });
    }

    void publish(std::shared_ptr<const routing_snapshot> view)
    {
        traffic.post([this, view = std::move(view)] {
            requests.update(view);
            delegations.update(*view);
        });
    }

    leaf::result<void> listen()
    {
        if (!control.opened() || !traffic.opened()) {
            return leaf::new_error(process_error {process_failure::out_of_descriptors, "reactor"});
        }
        clientsOpener.start();
        readinessOpener.start();
        return failure ? leaf::result<void>(leaf::new_error(*failure)) : leaf::result<void>();
    }

    // Runs the callback on the control thread, or at once while there is only one thread.
    void tellControl(std::function<void()> callback)
    {
        if (running) {
            control.post(std::move(callback));
        } else {
            callback();
        }
    }

    // The callbacks run on the traffic thread.
    address_opener::callbacks openClients()
    {
        address_opener::callbacks notify;
        // A reload replaces the settings on the control thread.
        notify.open = [this, address = settings.clients] {
            return clients.listen(address);
        };
        notify.opened = [this] {
            reachable = true;
            tellControl([this, address = clients.address()] {
                clientsAwaited.clear();
                clientsOpen = address;
                addressOpened();
            });
        };
        notify.waits = [this] {
            tellControl([this, text = clientsOpener.text()] { clientsAwaited = text; });
        };
        notify.failed = [this](const process_error &error) {
            tellControl([this, error] { fail(error); });
        };
        return notify;
    }

    address_opener::callbacks openReadiness()
    {
        address_opener::callbacks notify;
        notify.open = [this]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(readiness,
                http_server::listen(control,
                    settings.readiness,
                    [this](const http_request &request, const http_responder &respond) { answer(request, respond); },
                    {.connections = static_cast<unsigned>(operatorDescriptors(allowedDescriptors())), .heldBodyBytes = maxOperatorBodyBytes}));
            return {};
        };
        notify.opened = [this] {
            addressOpened();
        };
        notify.failed = [this](const process_error &error) {
            fail(error);
        };
        return notify;
    }

    void addressOpened()
    {
        if (onOpened && clientsOpen && readiness) {
            std::exchange(onOpened, {})({*clientsOpen, readiness->address()});
        }
    }

    void fail(const process_error &error)
    {
        failure = error;
        if (running) {
            control.stop();
        }
    }

    void answer(const http_request &request, const http_responder &respond)
    {
        if (request.path.starts_with(quarantine_api::path)) {
            quarantine.handle(request, respond);
        } else {
            respond(probe(request));
        }
    }

    http_response probe(const http_request &request)
    {
        if (request.path == "/metrics") {
            return {.body = registry.text(), .contentType = "text/plain; version=0.0.4"};
        }
        if (request.path != readinessPath) {
            return {.status = statusNotFound};
        }
        if (!draining && clientsOpen && store.ready()) {
            return {.status = statusReady};
        }
        return {.status = statusNotReady, .body = nlohmann::json {{"not_ready", reasonNotReady()}}.dump()};
    }

    std::string reasonNotReady() const
    {
        if (draining) {
            return "draining";
        }
        return clientsAwaited.empty() ? "waiting for the store" : "waiting for " + clientsAwaited;
    }

    // Further signals have no effect.
    void startDraining()
    {
        if (draining) {
            return;
        }
        draining = true;
        drainingSince = control.now();
        DAISYSTILE_LOG(INFO, "daemon") << "Draining." << field("id", settings.id.value);
        readinessOpener.stop();
        traffic.post([this] {
            clientsOpener.stop();
            clients.startDraining();
            delegations.startDraining();
            requests.quotaKeeper().leave();
        });
        store.leave();
        checkDrained();
    }

    void checkDrained()
    {
        traffic.post([this] {
            const drain_progress progress {std::chrono::duration_cast<milliseconds>(traffic.now() - drainingSince),
                settings.grace,
                clients.busyConnections() + delegations.runningQueries(),
                reachable};
            const auto next = drainStep(progress);
            if (next != drain_step::serve) {
                clients.closeIdle();
                control.post([this] { releaseReadiness(); });
            }
            if (next == drain_step::exit) {
                control.post([this] { control.stop(); });
                return;
            }
            traffic.after(drainCheck, [this] { checkDrained(); });
        });
    }

    // The next process of this daemon may take both addresses from now on; a refused connection says not ready too.
    void releaseReadiness()
    {
        if (readiness) {
            readiness->stopListening();
        }
    }

    std::optional<process_error> run(std::function<void(const addresses &)> opened)
    {
        if (clientMemoryBudget(settings) != 0) {
            returnLargeBuffers();
        }
        onOpened = std::move(opened);
        addressOpened();
        running = true;
        DAISYSTILE_LOG(INFO, "daemon") << "Started." << field("id", settings.id.value) << field("clients", toString(settings.clients));
        store.start();
        watchSettings();
        std::thread thread([this] { traffic.run(); });
        control.run();
        traffic.post([this] { traffic.stop(); });
        thread.join();
        return failure;
    }

    entry_settings settings;
    // With the addresses and names that the file had when it was last read.
    entry_settings awaitingRestart {settings};
    settings_reader readSettingsAgain;
    metrics registry;
    reactor control;
    reactor traffic;
    forwarder requests;
    client_server clients;
    delegation_server delegations;
    quarantine_api quarantine;
    store_follower store;
    termination_signals signals;
    std::unique_ptr<http_server> readiness;
    address_opener clientsOpener {traffic, "clients", settings.clients, openClients()};
    address_opener readinessOpener {control, "readiness", settings.readiness, openReadiness()};
    std::function<void(const addresses &)> onOpened;
    std::optional<ip_address> clientsOpen;
    // What is waited for and why, while clients' address is taken.
    std::string clientsAwaited;
    std::optional<process_error> failure;
    // Set before the second thread starts.
    bool running = false;
    // Whether clients could connect. Used on the traffic thread only.
    bool reachable = false;
    bool draining = false;
    monotonic_time drainingSince;
};

entry_process::entry_process(entry_settings settings, settings_reader readAgain)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(readAgain)))
{
}

entry_process::~entry_process() = default;

leaf::result<void> entry_process::listen()
{
    return m_implementation->listen();
}

std::optional<process_error> entry_process::run(std::function<void(const addresses &)> opened)
{
    auto error = m_implementation->run(std::move(opened));
    if (!error) {
        DAISYSTILE_LOG(INFO, "daemon") << "Stopped." << field("id", m_implementation->settings.id.value);
    }
    return error;
}

} // namespace daisystile
