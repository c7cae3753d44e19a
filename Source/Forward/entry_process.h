#pragma once

#include "entry_settings.h"

#include <functional>
#include <memory>
#include <optional>

namespace daisystile {

/// A daemon that serves the plain front door: a control thread that follows the store, a traffic thread for clients.
class entry_process
{
public:
    /// Reads the settings again, as after a change of their file; null when they can't be used.
    using settings_reader = std::function<std::optional<entry_settings>()>;

    entry_process(entry_settings settings, settings_reader readAgain);
    ~entry_process();
    entry_process(const entry_process &) = delete;
    entry_process &operator=(const entry_process &) = delete;

    struct addresses
    {
        ip_address clients;
        ip_address readiness;
    };

    /// Opens all listening addresses. Errors: process_error{address_in_use}, process_error{out_of_handles}.
    leaf::result<addresses> listen();

    /// Serves on this thread, which becomes the control thread, until a termination signal has been obeyed.
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
