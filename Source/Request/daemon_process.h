#pragma once

#include <Version/version.h>

#include <memory>
#include <optional>

namespace daisystile {

/// Addresses on which the daemon listens.
struct daemon_addresses
{
    ip_address callers;
    ip_address operators;
    ip_address traffic;
    ip_address control;
};

/// One daemon: a control thread, which publishes fleet views, and a traffic thread, which reads them.
class daemon_process
{
public:
    explicit daemon_process(daemon_settings settings);
    ~daemon_process();
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    /// Opens all listening addresses and waits for those that are taken; nothing if a termination signal came meanwhile. Errors: those of
    /// openListeningSocket() that don't pass by themselves.
    leaf::result<std::optional<daemon_addresses>> listen();

    /// Runs the control thread on the calling thread and returns after a termination signal or after a later incarnation
    /// of this daemon superseded it, when running work has finished.
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
