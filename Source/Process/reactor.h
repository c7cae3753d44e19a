#pragma once

#include "clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace daisystile {

/// Identifies a pending timer of a reactor; 0 is no timer.
using timer_id = std::uint64_t;

struct io_interest
{
    bool read = false;
    bool write = false;
};

/// Single-threaded event loop based on ACE. Only post() and stop() may be called from other threads.
class reactor
{
public:
    reactor();
    ~reactor();
    reactor(const reactor &) = delete;
    reactor &operator=(const reactor &) = delete;

    /// False if the event loop could not be initialized, for example for lack of file descriptors; it must not be run then.
    bool opened() const;

    monotonic_time now() const;
    /// Within a callback: the earliest time at which its event can have been ready. Earlier than now() by the time for which
    /// the loop was busy or the process was paused.
    monotonic_time readySince() const;

    /// Calls back once after the delay.
    timer_id after(milliseconds delay, std::function<void()> callback);
    /// Does nothing for a timer that has fired or was never set.
    void cancelTimer(timer_id timer);

    /// Calls back whenever the file descriptor is ready; calling it again replaces the interest and the callback.
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
