#pragma once

#include <Connection/connection.h>

#include <functional>
#include <memory>
#include <optional>

namespace daisystile {

/// The control thread: platform access, fleet membership, published views and the operators' API.
class control_runtime
{
public:
    control_runtime(const daemon_settings &settings, const peer_identity &self, view_publisher &views, metrics &registry);
    ~control_runtime();
    control_runtime(const control_runtime &) = delete;
    control_runtime &operator=(const control_runtime &) = delete;

    struct addresses
    {
        ip_address operators;
        ip_address control;
    };

    /// Waits for addresses that are taken; nothing if a termination signal came meanwhile. Errors: those of openBeforeRunning().
    leaf::result<std::optional<addresses>> listen();

    /// Called on the control thread.
    struct change_callbacks
    {
        std::function<void()> viewChanged;
        std::function<void(const lease_change &)> leaseChanged;
        /// A later incarnation of this daemon is running; this one must stop.
        std::function<void()> superseded;
    };

    /// Joins the fleet, announces the addresses to the other daemons and starts to poll the platform.
    void start(const ip_address &traffic, change_callbacks observers);

    /// Reports that nothing of this daemon runs any more on a server that it has to release; safe from any thread.
    void serverIdle(const server_idle &idle);

    /// Announces that this daemon is leaving, so that the others take over its servers.
    void startLeaving();
    /// Waits until the servers have been released or their leases have expired, announces the departure, then calls back.
    void finishLeaving(const std::function<void()> &left);

    reactor &loop();

    /// Adds a handler for a path below /v1/admin/.
    void addOperatorsPath(const std::string &path, http_handler handler);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
