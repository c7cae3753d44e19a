#pragma once

#include "reactor.h"

#include <functional>

namespace daisystile {

/// Keeps SIGTERM and SIGINT from all threads started later; call first in main().
void blockTerminationSignals();

/// Calls back on the reactor's thread for each SIGTERM or SIGINT.
class termination_signals
{
public:
    termination_signals(reactor &loop, std::function<void()> callback);
    ~termination_signals();
    termination_signals(const termination_signals &) = delete;
    termination_signals &operator=(const termination_signals &) = delete;

private:
    reactor &m_loop;
    int m_handle;
};

} // namespace daisystile
