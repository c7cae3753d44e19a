#pragma once

#include <Connection/connection.h>

#include <functional>
#include <memory>

namespace daisystile {

/// The control thread: platform, members, published versions, operators' API.
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

    /// Errors: process_error{address_in_use}.
    leaf::result<addresses> listen();

    /// Called on the control thread.
    struct change_callbacks
    {
        std::function<void()> viewChanged;
        std::function<void(const lease_change &)> leaseChanged;
        /// A later life of this daemon runs elsewhere; this one must stop.
        std::function<void()> superseded;
    };

    /// Joins the fleet and begins to follow the platform. The addresses are told to the others.
    void start(const ip_address &traffic, change_callbacks observers);

    /// Nothing of this daemon runs on a server that it was to give up; safe from any thread.
    void serverQuiet(const server_quiet &quiet);

    /// Tells the others that this daemon is leaving; they take its servers over.
    void startLeaving();
    /// Calls back when the servers have been given up, and tells the others that this daemon is gone.
    void finishLeaving(const std::function<void()> &left);

    reactor &loop();

    /// Adds a path below /v1/admin/ that another part serves.
    void addOperatorsPath(const std::string &path, http_handler handler);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
