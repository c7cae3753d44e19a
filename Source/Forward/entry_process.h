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

    /// Opens the listening addresses that are free. Errors: process_error{out_of_descriptors}, or those of openListeningSocket() that
    /// don't pass by themselves.
    leaf::result<void> listen();

    /// Runs until a termination signal has been handled; the calling thread becomes the control thread. Addresses that are taken are
    /// waited for; the callback is called once clients' and the readiness address are open. Returns the error that ended it, as for listen().
    std::optional<process_error> run(std::function<void(const addresses &)> opened);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
