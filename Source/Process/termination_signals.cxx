#include "termination_signals.h"

#include "log.h"

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
    sigaddset(&set, SIGHUP);
    return set;
}

void blockTerminationSignals()
{
    const sigset_t set = terminationSet();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

bool terminationWithin(milliseconds time)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    const auto whole = std::chrono::floor<seconds>(time);
    const timespec limit {.tv_sec = whole.count(), .tv_nsec = std::chrono::nanoseconds(time - whole).count()};
    return sigtimedwait(&set, nullptr, &limit) > 0;
}

termination_signals::termination_signals(reactor &loop, std::function<void()> terminate, std::function<void()> reload)
    : m_loop(loop)
{
    const sigset_t set = terminationSet();
    m_handle = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    m_loop.watch(m_handle, {.read = true, .write = false}, [this, terminate = std::move(terminate), reload = std::move(reload)] {
        signalfd_siginfo info {};
        while (read(m_handle, &info, sizeof info) == sizeof info) {
            if (info.ssi_signo != SIGHUP) {
                terminate();
            } else if (reload) {
                reload();
            } else {
                DAISYSTILE_LOG(INFO, "process") << "SIGHUP ignored; settings are read only at startup.";
            }
        }
    });
}

termination_signals::~termination_signals()
{
    m_loop.unwatch(m_handle);
    close(m_handle);
}

} // namespace daisystile
