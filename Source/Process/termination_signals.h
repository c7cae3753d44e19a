#pragma once

#include "reactor.h"

#include <functional>

namespace daisystile {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and those started later; call it first in main().
void blockTerminationSignals();

/// Waits for SIGTERM or SIGINT, which must be blocked; false if none came in this time. For use while no event loop runs.
bool terminationWithin(milliseconds time);

/// Handles signals on the reactor's thread: calls `terminate` for each SIGTERM or SIGINT and `reload` for each SIGHUP.
class termination_signals
{
public:
    termination_signals(reactor &loop, std::function<void()> terminate, std::function<void()> reload = {});
    ~termination_signals();
    termination_signals(const termination_signals &) = delete;
    termination_signals &operator=(const termination_signals &) = delete;

private:
    reactor &m_loop;
    int m_handle;
};

} // namespace daisystile
