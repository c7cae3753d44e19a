#pragma once

#include "clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace daisystile {

/// Names one pending timer of a reactor; 0 names none.
using timer_id = std::uint64_t;

struct io_interest
{
    bool read = false;
    bool write = false;
};

/// One thread's event loop over ACE. All calls but post() and stop() belong to the thread that runs it.
class reactor
{
public:
    reactor();
    ~reactor();
    reactor(const reactor &) = delete;
    reactor &operator=(const reactor &) = delete;

    /// False when the system gave no handle to wait on; such a reactor must not be run.
    bool opened() const;

    monotonic_time now() const;

    /// Calls once after the delay.
    timer_id after(milliseconds delay, std::function<void()> callback);
    /// A timer that has fired or was never set is ignored.
    void cancelTimer(timer_id timer);

    /// Calls whenever the handle is ready; a later call replaces the interest and the callback.
    void watch(int handle, io_interest interest, std::function<void()> callback);
    void unwatch(int handle);

    /// Runs the callback on the reactor's thread; safe from any thread.
    void post(std::function<void()> callback);

    /// Runs until stop(); may be run again.
    void run();
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
