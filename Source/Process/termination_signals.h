#pragma once

#include "reactor.h"

#include <functional>

namespace daisystile {

/// Keeps SIGTERM, SIGINT and SIGHUP from all threads started later; call first in main().
void blockTerminationSignals();

/// Calls back on the reactor's thread: terminate for each SIGTERM or SIGINT, reload for each SIGHUP.
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
