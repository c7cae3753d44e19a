#include "Process/log.h"

#include <gtest/gtest.h>

#include <csignal>
#include <stdexcept>
#include <thread>
#include <unistd.h>

using namespace daisystile;

// The log goes to standard output, the death test reads standard error.
static void logLines()
{
    dup2(STDERR_FILENO, STDOUT_FILENO);
    startLogging("failure_report_test", "info", log_destination::standard_output);
    DAISYSTILE_LOG(INFO, "answer") << "First line.";
    DAISYSTILE_LOG(INFO, "answer") << "Last line before the end.";
}

static void crash()
{
    logLines();
    std::raise(SIGSEGV);
}

static void throwUncaught()
{
    logLines();
    std::thread([] { throw std::runtime_error("no room\nleft"); }).join();
}

static void failToWrite()
{
    startLogging("failure_report_test", "info");
    std::raise(SIGXFSZ);
    std::raise(SIGPIPE);
    std::_Exit(0);
}

TEST(failure_report, writesThatFailDoNotEndTheProcess)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(failToWrite(), testing::ExitedWithCode(0), "");
}

TEST(failure_report, linesQueuedAtACrashComeBeforeItsReason)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(
        crash(), testing::KilledBySignal(SIGSEGV), "First line.\n.*Last line before the end.\n.*process: Ends on a signal. signal=11 name=\"SIGSEGV\"\n");
}

TEST(failure_report, uncaughtExceptionSaysWhatItWas)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(throwUncaught(),
        testing::KilledBySignal(SIGABRT),
        "First line.\n.*Last line before the end.\n.*process: Ends on an uncaught exception. what=\"no room left\"\n");
}
