#pragma once

#include "ip_address.h"
#include "process_error.h"
#include "reactor.h"

#include <functional>
#include <optional>
#include <string>

namespace daisystile {

/// Decides whether an address that could not be opened is tried again, and logs once that it is waited for and once that it is open.
class address_wait
{
public:
    static constexpr milliseconds retryInterval {100};

    /// The purpose is a word for the log, such as "clients".
    address_wait(std::string purpose, const ip_address &address);

    /// True if what failed may pass by itself: the address is taken, isn't one of this host yet, or descriptors ran out.
    static bool mayPass(process_failure failure);
    /// Whether to try again after this failure.
    bool failed(const process_error &error, monotonic_time now);
    void opened(monotonic_time now);
    bool waiting() const;
    /// What is waited for and why.
    std::string text() const;

private:
    std::string m_purpose;
    ip_address m_address;
    std::string m_reason;
    std::optional<monotonic_time> m_since;
};

/// Opens a listening address on a reactor and tries again while it is taken.
class address_opener
{
public:
    struct callbacks
    {
        std::function<leaf::result<void>()> open;
        std::function<void()> opened;
        /// It can't be opened, and trying again would not help.
        std::function<void(const process_error &)> failed;
        /// It is taken and tried again from now on.
        std::function<void()> waits = [] {
        };
    };

    address_opener(reactor &loop, std::string purpose, const ip_address &address, callbacks notify);
    ~address_opener();
    address_opener(const address_opener &) = delete;
    address_opener &operator=(const address_opener &) = delete;

    /// Tries at once; one of the callbacks is called before it returns.
    void start();
    /// Ends the attempts; no more callbacks follow.
    void stop();
    bool waiting() const;
    std::string text() const;

private:
    void retry(const process_error &error);
    void giveUp(const process_error &error);

    reactor &m_loop;
    address_wait m_wait;
    callbacks m_notify;
    timer_id m_timer = 0;
};

/// Opens an address before an event loop runs, in the same way. False if SIGTERM or SIGINT came while it was taken; the signals must
/// be blocked. Errors: those of open that can't pass.
leaf::result<bool> openBeforeRunning(std::string purpose, const ip_address &address, const std::function<leaf::result<void>()> &open);

} // namespace daisystile
