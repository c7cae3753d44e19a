#include "child_process.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace daisystile;

namespace {

constexpr milliseconds endTimeout {30000};

/// One daemon whose store doesn't answer: how it starts and ends.
class end_promises : public testing::Test
{
protected:
    void SetUp() override
    {
        m_folder =
            std::filesystem::temp_directory_path() / ("end-" + std::to_string(getpid()) + "-" + testing::UnitTest::GetInstance()->current_test_info()->name());
        std::filesystem::create_directories(m_folder);
        std::ofstream(m_folder / "daemon.toml") << "id = \"d1\"\nfailure_domain = \"port\"\nregion = \"sfax\"\nclients = \"127.0.0.1:0\"\nreadiness = "
                                                   "\"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nstore = \"127.0.0.1:1\"\ngrace_ms = 6000\n";
    }

    void TearDown() override
    {
        std::filesystem::remove_all(m_folder);
    }

    std::unique_ptr<child_process> start(const std::string &settings = "daemon.toml") const
    {
        return std::make_unique<child_process>(
            "daisystiled", std::vector<std::string> {"--front-door", "plain", "--config", (m_folder / settings).string()}, (m_folder / "daemon.err").string());
    }

    // The daemon gets the signal before its libraries are initialized.
    std::unique_ptr<child_process> startWithSignal(int number) const
    {
        setenv("LD_PRELOAD", SIGNAL_AT_START, 1);
        setenv("DAISYSTILE_TEST_SIGNAL", std::to_string(number).c_str(), 1);
        auto daemon = start();
        unsetenv("LD_PRELOAD");
        unsetenv("DAISYSTILE_TEST_SIGNAL");
        return daemon;
    }

    std::filesystem::path m_folder;
};

std::string lastLine(const std::string &text)
{
    const auto end = text.find_last_not_of('\n');
    const auto start = text.rfind('\n', end);
    return text.substr(start == std::string::npos ? 0 : start + 1, end - start);
}

} // namespace

TEST_F(end_promises, sighupBeforeTheLibrariesAreInitializedDoesNotEndTheProcess)
{
    const auto daemon = startWithSignal(SIGHUP);
    ASSERT_TRUE(daemon->waitReady()) << "ended with " << daemon->waitExit(endTimeout).value_or(0);
    EXPECT_TRUE(daemon->running());
}

TEST_F(end_promises, sigtermBeforeTheLibrariesAreInitializedIsAnOrderlyEnd)
{
    const auto daemon = startWithSignal(SIGTERM);
    EXPECT_EQ(daemon->waitExit(endTimeout), 0);
    EXPECT_NE(lastLine(daemon->readOutput()).find("daemon: Process ends. status=0"), std::string::npos);
}

TEST_F(end_promises, lastLineOfACrashNamesTheSignal)
{
    const auto daemon = start();
    ASSERT_TRUE(daemon->waitReady());
    daemon->signal(SIGSEGV);
    EXPECT_EQ(daemon->waitExit(endTimeout), 128 + SIGSEGV);
    EXPECT_NE(lastLine(daemon->readOutput()).find("process: Ends on a signal. signal=11"), std::string::npos);
}

TEST_F(end_promises, settingsThatCannotBeReadLeaveALineInTheLog)
{
    const auto daemon = start("missing.toml");
    EXPECT_EQ(daemon->waitExit(endTimeout), 2);
    const auto output = daemon->readOutput();
    EXPECT_NE(output.find("settings file can't be read"), std::string::npos);
    EXPECT_NE(lastLine(output).find("daemon: Process ends. status=2"), std::string::npos);
}
