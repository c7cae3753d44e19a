#pragma once

#include <Version/version.h>

#include <memory>

namespace daisystile {

/// Where a running daemon listens.
struct daemon_addresses
{
    ip_address callers;
    ip_address operators;
    ip_address traffic;
    ip_address control;
};

/// One daemon: a control thread and a traffic thread, joined by published versions.
class daemon_process
{
public:
    explicit daemon_process(daemon_settings settings);
    ~daemon_process();
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    /// Opens all listening addresses. Errors: process_error{address_in_use}.
    leaf::result<daemon_addresses> listen();

    /// Serves on this thread, which becomes the control thread, until a termination signal has been
    /// obeyed: no new work is taken, what runs is finished.
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
