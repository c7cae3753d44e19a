#include "failure_report.h"

#include "log.h"
#include "log_line.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>

namespace daisystile {

namespace {

struct failure_signal
{
    int number;
    std::string_view name;
};

// Those that glog reports with a stack. SIGTERM is not among them: a daemon reads it from a descriptor.
constexpr std::array<failure_signal, 5> failureSignals {
    {{SIGSEGV, "SIGSEGV"}, {SIGABRT, "SIGABRT"}, {SIGBUS, "SIGBUS"}, {SIGFPE, "SIGFPE"}, {SIGILL, "SIGILL"}}};

// glog's handlers, in the order of failureSignals.
std::array<struct sigaction, failureSignals.size()> stackHandlers {};
std::terminate_handler previousTerminate = nullptr;
// An uncaught exception ends in SIGABRT, and other threads may fail at the same time: the first reason is the one to know.
std::atomic_flag reported = ATOMIC_FLAG_INIT;

// glog's handler has set the default action and sent the signal to the process, where another thread may be the one to take it: this
// thread must not go on meanwhile.
void endNow(int number)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, number);
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
    std::raise(number);
}

void handleSignal(int number, siginfo_t *info, void *context)
{
    for (std::size_t i = 0; i < failureSignals.size(); ++i) {
        if (failureSignals[i].number != number) {
            continue;
        }
        if (!reported.test_and_set()) {
            log_line line(google::GLOG_ERROR, "process: Ends on a signal.");
            line.add("signal", static_cast<std::uint64_t>(number));
            line.add("name", failureSignals[i].name);
            writeLastLine(line.finish());
        }
        stackHandlers[i].sa_sigaction(number, info, context);
        endNow(number);
    }
}

void reportException(std::string_view what)
{
    if (reported.test_and_set()) {
        return;
    }
    log_line line(google::GLOG_ERROR, "process: Ends on an uncaught exception.");
    line.add("what", what);
    writeLastLine(line.finish());
}

[[noreturn]] void handleTerminate()
{
    if (const auto thrown = std::current_exception()) {
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception &error) {
            reportException(error.what());
        } catch (...) {
            reportException("not a std::exception");
        }
    } else {
        reportException("none: std::terminate() was called");
    }
    // Prints the type on standard error.
    previousTerminate();
    std::abort();
}

} // namespace

void reportFailures()
{
    google::InstallFailureSignalHandler();
    for (std::size_t i = 0; i < failureSignals.size(); ++i) {
        struct sigaction own
        {
        };
        own.sa_sigaction = handleSignal;
        own.sa_flags = SA_SIGINFO;
        sigaction(failureSignals[i].number, &own, &stackHandlers[i]);
    }
    previousTerminate = std::set_terminate(handleTerminate);
}

} // namespace daisystile
