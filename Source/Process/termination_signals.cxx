#include "termination_signals.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace daisystile {

static sigset_t terminationSet()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

void blockTerminationSignals()
{
    const sigset_t set = terminationSet();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

termination_signals::termination_signals(reactor &loop, std::function<void()> callback)
    : m_loop(loop)
{
    const sigset_t set = terminationSet();
    m_handle = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    m_loop.watch(m_handle, {.read = true, .write = false}, [this, callback = std::move(callback)] {
        signalfd_siginfo info {};
        while (read(m_handle, &info, sizeof info) == sizeof info) {
            callback();
        }
    });
}

termination_signals::~termination_signals()
{
    m_loop.unwatch(m_handle);
    close(m_handle);
}

} // namespace daisystile
