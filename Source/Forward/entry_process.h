#pragma once

#include "entry_settings.h"

#include <functional>
#include <memory>
#include <optional>

namespace daisystile {

/// A daemon with the plain HTTP front end: a control thread that follows the store and a traffic thread for clients.
class entry_process
{
public:
    /// Rereads the settings file; empty if it is invalid.
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

    /// Opens all listening addresses. Errors: process_error{address_in_use}, process_error{out_of_descriptors}.
    leaf::result<addresses> listen();

    /// Runs until a termination signal has been handled; the calling thread becomes the control thread.
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
