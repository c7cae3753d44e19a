#pragma once

#include "burn_report.h"

#include <Connection/connection.h>

#include <functional>
#include <memory>

namespace daisystile {

/// The traffic thread: callers' API, coordinator, owner, peer links.
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

    /// False when the system gave no handle for the event loop.
    bool opened() const;

    /// Errors: process_error{address_in_use}.
    leaf::result<addresses> listen();

    /// Starts the thread, which tells when nothing runs any more on a server that was to be given up.
    void start(std::function<void(server_quiet)> serverQuiet);

    /// A new view was published; safe from any thread.
    void viewChanged();

    /// Gathers the burn report of all daemons; safe from any thread, calls back on the traffic thread.
    void reportBurn(std::function<void(burn_report)> done);

    /// Requests quarantined as this daemon knows them; safe from any thread, calls back on the traffic thread.
    void listQuarantined(std::function<void(std::vector<quarantined_request>)> done);
    /// Ends a quarantine on all daemons; safe from any thread.
    void liftQuarantine(service_name service, fingerprint request);

    /// What was recorded of a backend server's gate; safe from any thread, calls back on the traffic thread.
    void gateTrace(backend_server_id server, std::function<void(std::optional<std::string>)> done);

    /// A lease of this daemon began, goes on or ends; safe from any thread.
    void leaseChanged(const lease_change &change);

    /// Takes no new work, finishes what runs, then calls back on the traffic thread; safe from any thread.
    void drain(std::function<void()> drained);

    /// Ends the thread.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
