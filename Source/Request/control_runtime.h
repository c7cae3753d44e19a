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

    /// Begins to follow the platform. The addresses are told to the others.
    void start(const ip_address &traffic, std::function<void()> viewChanged);

    /// Tells the others that this daemon is leaving.
    void announceLeaving();

    reactor &loop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
