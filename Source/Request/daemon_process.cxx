#include "daemon_process.h"

#include "burn_endpoint.h"
#include "control_runtime.h"
#include "quarantine_endpoint.h"
#include "trace_endpoint.h"
#include "traffic_runtime.h"

namespace daisystile {

// Wall time, so that a later incarnation has a larger number even if the daemon is replaced on another host; the hosts'
// clocks agree well enough for that.
static incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(sinceEpoch).count())};
}

struct daemon_process::implementation
{
    explicit implementation(daemon_settings daemonSettings)
        : settings(std::move(daemonSettings)),
          self {settings.id, newIncarnation()},
          control(settings, self, views, registry),
          traffic(settings, self, views, registry),
          signals(control.loop(), [this] { shutDown(); })
    {
    }

    quarantine_source quarantines()
    {
        quarantine_source source;
        source.list = [this](std::function<void(std::vector<quarantined_request>)> done) {
            traffic.listQuarantined(std::move(done));
        };
        source.lift = [this](service_name service, fingerprint request) {
            traffic.liftQuarantine(std::move(service), request);
        };
        return source;
    }

    // The operators' API runs on the control thread; these handlers fetch their data from the traffic thread.
    void addOperatorsPaths()
    {
        control.addOperatorsPath(
            "report", burnReportHandler(control.loop(), [this](std::function<void(burn_report)> done) { traffic.reportBurn(std::move(done)); }));
        control.addOperatorsPath("quarantine", quarantineHandler(control.loop(), quarantines()));
        control.addOperatorsPath(
            "trace", gateTraceHandler(control.loop(), [this](backend_server_id server, std::function<void(std::optional<std::string>)> done) {
                traffic.gateTrace(std::move(server), std::move(done));
            }));
    }

    // Further signals are ignored; running work is always finished.
    void shutDown()
    {
        if (shuttingDown) {
            return;
        }
        shuttingDown = true;
        DAISYSTILE_LOG(INFO, "daemon") << "Shutting down." << field("id", self.id.value);
        control.startLeaving();
        traffic.drain([this] { control.loop().post([this] { leave(); }); });
    }

    void leave()
    {
        control.finishLeaving([this] { control.loop().stop(); });
    }

    daemon_settings settings;
    peer_identity self;
    view_publisher views;
    metrics registry;
    control_runtime control;
    traffic_runtime traffic;
    termination_signals signals;
    ip_address trafficAddress;
    bool shuttingDown = false;
};

daemon_process::daemon_process(daemon_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings)))
{
}

daemon_process::~daemon_process() = default;

leaf::result<std::optional<daemon_addresses>> daemon_process::listen()
{
    auto &self = *m_implementation;
    if (!self.control.loop().opened() || !self.traffic.opened()) {
        return leaf::new_error(process_error {process_failure::out_of_descriptors, "reactor"});
    }
    self.addOperatorsPaths();
    BOOST_LEAF_AUTO(control, self.control.listen());
    if (!control) {
        return std::optional<daemon_addresses>();
    }
    BOOST_LEAF_AUTO(traffic, self.traffic.listen());
    if (!traffic) {
        return std::optional<daemon_addresses>();
    }
    self.trafficAddress = traffic->traffic;
    return std::optional(daemon_addresses {traffic->callers, control->operators, traffic->traffic, control->control});
}

void daemon_process::run()
{
    auto &self = *m_implementation;
    self.traffic.start([&self](const server_idle &idle) { self.control.serverIdle(idle); });
    control_runtime::change_callbacks observers;
    observers.viewChanged = [&self] {
        self.traffic.viewChanged();
    };
    observers.leaseChanged = [&self](const lease_change &change) {
        self.traffic.leaseChanged(change);
    };
    observers.superseded = [&self] {
        self.shutDown();
    };
    self.control.start(self.trafficAddress, std::move(observers));
    self.control.loop().run();
    self.traffic.stop();
    DAISYSTILE_LOG(INFO, "daemon") << "Stopped." << field("id", self.self.id.value);
}

} // namespace daisystile
