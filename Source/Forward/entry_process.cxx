#include "entry_process.h"

#include "client_server.h"
#include "delegation_server.h"
#include "drain_plan.h"
#include "quarantine_api.h"
#include "store_follower.h"

#include <thread>

namespace daisystile {

namespace {

constexpr milliseconds drainCheck {50};
constexpr milliseconds settingsCheck {10000};
constexpr int statusNotFound = 404;
constexpr int statusReady = 200;
constexpr int statusNotReady = 503;

} // namespace

struct entry_process::implementation
{
    implementation(entry_settings entrySettings, settings_reader settingsReader)
        : settings(std::move(entrySettings)),
          readSettingsAgain(std::move(settingsReader)),
          requests(traffic, settings, registry),
          clients(traffic, requests, registry),
          delegations(traffic, requests, settings),
          quarantine(control, traffic, requests, settings.operatorTokenDigest),
          store(control, settings, [this](std::shared_ptr<const routing_snapshot> view) { publish(std::move(view)); }),
          signals(
              control,
              [this] { startDraining(); },
              [this] { reload(); })
    {
        requests.onSuspectsChanged(
            [this](std::vector<suspect_record> records) { control.post([this, records = std::move(records)] { store.shareSuspects(records); }); });
    }

    // Also detects changes of the settings file that are not followed by SIGHUP.
    void watchSettings()
    {
        control.after(settingsCheck, [this] { watchSettings(); });
        reload();
    }

    // The bounds and grace times are applied at run time; addresses and names need a restart.
    void reload()
    {
        const auto again = readSettingsAgain();
        if (!again || *again == settings) {
            return;
        }
        auto next = settings;
        next.bounds = again->bounds;
        next.grace = again->grace;
        next.lapseGrace = again->lapseGrace;
        if (next != *again) {
            DAISYSTILE_LOG(WARNING, "daemon") << "Changes to addresses or names take effect after a restart." << field("id", settings.id.value);
        }
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

    leaf::result<entry_process::addresses> listen()
    {
        if (!control.opened() || !traffic.opened()) {
            return leaf::new_error(process_error {process_failure::out_of_descriptors, "reactor"});
        }
        BOOST_LEAF_CHECK(clients.listen(settings.clients));
        BOOST_LEAF_ASSIGN(readiness,
            http_server::listen(control,
                settings.readiness,
                [this](const http_request &request, const http_responder &respond) { answer(request, respond); },
                {.connections = static_cast<unsigned>(operatorDescriptors(allowedDescriptors()))}));
        return entry_process::addresses {clients.address(), readiness->address()};
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
        const bool ready = !draining && store.ready();
        return {.status = ready ? statusReady : statusNotReady};
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
        traffic.post([this] {
            clients.startDraining();
            delegations.startDraining();
        });
        store.leave();
        checkDrained();
    }

    void checkDrained()
    {
        traffic.post([this] {
            const drain_progress progress {std::chrono::duration_cast<milliseconds>(traffic.now() - drainingSince),
                settings.grace,
                clients.busyConnections() + delegations.runningQueries()};
            const auto next = drainStep(progress);
            if (next != drain_step::serve) {
                clients.closeIdle();
            }
            if (next == drain_step::exit) {
                control.post([this] { control.stop(); });
                return;
            }
            traffic.after(drainCheck, [this] { checkDrained(); });
        });
    }

    void run()
    {
        DAISYSTILE_LOG(INFO, "daemon") << "Started." << field("id", settings.id.value) << field("clients", toString(settings.clients));
        store.start();
        watchSettings();
        std::thread thread([this] { traffic.run(); });
        control.run();
        traffic.post([this] { traffic.stop(); });
        thread.join();
    }

    entry_settings settings;
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
    bool draining = false;
    monotonic_time drainingSince;
};

entry_process::entry_process(entry_settings settings, settings_reader readAgain)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(readAgain)))
{
}

entry_process::~entry_process() = default;

leaf::result<entry_process::addresses> entry_process::listen()
{
    return m_implementation->listen();
}

void entry_process::run()
{
    m_implementation->run();
    DAISYSTILE_LOG(INFO, "daemon") << "Stopped." << field("id", m_implementation->settings.id.value);
}

} // namespace daisystile
