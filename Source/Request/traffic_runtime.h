#pragma once

#include "burn_report.h"

#include <Connection/connection.h>

#include <functional>
#include <memory>
#include <optional>

namespace daisystile {

/// The traffic thread: callers' API, query coordinator, server owner and peer links.
class traffic_runtime
{
public:
    traffic_runtime(const daemon_settings &settings, const peer_identity &self, const view_publisher &views, metrics &registry);
    ~traffic_runtime();
    traffic_runtime(const traffic_runtime &) = delete;
    traffic_runtime &operator=(const traffic_runtime &) = delete;

    struct addresses
    {
        ip_address callers;
        ip_address traffic;
    };

    /// False if the event loop could not get a file descriptor.
    bool opened() const;

    /// Waits for addresses that are taken; nothing if a termination signal came meanwhile. Errors: those of openBeforeRunning().
    leaf::result<std::optional<addresses>> listen();

    /// Starts the thread. It calls serverIdle when nothing runs any more on a server that this daemon has to release.
    void start(std::function<void(server_idle)> serverIdle);

    /// Applies the newest published view; safe from any thread.
    void viewChanged();

    /// Collects the burn report of all daemons; safe from any thread, calls back on the traffic thread.
    void reportBurn(std::function<void(burn_report)> done);

    /// Lists the quarantined requests known to this daemon; safe from any thread, calls back on the traffic thread.
    void listQuarantined(std::function<void(std::vector<quarantined_request>)> done);
    /// Ends a quarantine on all daemons; safe from any thread.
    void liftQuarantine(service_name service, fingerprint request);

    /// Returns the recorded slot-gate trace of a backend server; safe from any thread, calls back on the traffic thread.
    void gateTrace(backend_server_id server, std::function<void(std::optional<std::string>)> done);

    /// Applies the start, renewal or end of one of this daemon's leases; safe from any thread.
    void leaseChanged(const lease_change &change);

    /// Rejects new work, waits for running work, then calls back on the traffic thread; safe from any thread.
    void drain(std::function<void()> drained);

    /// Stops and joins the thread.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
