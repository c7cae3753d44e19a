#include "child_process.h"
#include "test_client.h"

#include <StandIns/platform_fields.h>
#include <StandIns/settings_template.h>

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr seconds maxExitWait {10};
constexpr int exitSettingsInvalid = 2;

/// Starts real daemons with settings files, those of the platform filled in from the template.
class settings_promises : public testing::Test
{
protected:
    void SetUp() override
    {
        m_folder = std::filesystem::temp_directory_path()
            / ("settings-" + std::to_string(getpid()) + "-" + testing::UnitTest::GetInstance()->current_test_info()->name());
        std::filesystem::create_directories(m_folder);
        m_store = std::make_unique<child_process>("platform-standin", std::vector<std::string> {}, errorFile());
        ASSERT_TRUE(m_store->waitReady());
        m_client.send("PUT",
            m_store->address("control"),
            "/control/objects/config/main",
            {{"version", 1}, {"routes", json::array()}, {"services", json::array()}, {"limits", json::object()}});
        m_fields = platformFields();
        m_fields["bind_addrs"] = {{"frontend", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}};
        m_fields["ip"] = "127.0.0.1";
        m_fields["internal_port_range"] = {0, 0};
        m_fields["platform"]["address"] = toString(m_store->address("http"));
    }

    void TearDown() override
    {
        m_daemon.reset();
        m_store.reset();
        std::filesystem::remove_all(m_folder);
    }

    std::string errorFile() const
    {
        return (m_folder / "processes.err").string();
    }

    // Replaces the file as a whole, so that no reader sees half of it.
    void writeSettings(const std::string &text)
    {
        std::ofstream(settingsFile() + ".new") << text;
        std::filesystem::rename(settingsFile() + ".new", settingsFile());
    }

    void start(const std::string &settings, const std::vector<std::string> &options = {})
    {
        writeSettings(settings);
        std::filesystem::remove(errorFile());
        std::vector<std::string> arguments {"--front-door", "plain", "--config", settingsFile()};
        arguments.insert(arguments.end(), options.begin(), options.end());
        m_daemon = std::make_unique<child_process>("daisystiled", arguments, errorFile());
    }

    void reload(const std::string &settings)
    {
        writeSettings(settings);
        m_daemon->signal(SIGHUP);
    }

    bool waitForLog(const std::string &line)
    {
        return m_client.waitUntil([&] {
            m_log += m_daemon->readOutput();
            return m_log.find(line) != std::string::npos;
        });
    }

    int logCount(const std::string &line) const
    {
        int count = 0;
        for (auto at = m_log.find(line); at != std::string::npos; at = m_log.find(line, at + 1)) {
            ++count;
        }
        return count;
    }

    bool becomesReady()
    {
        return m_daemon->waitReady() && m_client.waitUntil([this] {
            return statusOf(m_client.call({.address = m_daemon->address("readiness"), .path = "/v1/readyz", .timeout = seconds {1}})) == 200;
        });
    }

    std::string settingsFile() const
    {
        return (m_folder / "daemon.toml").string();
    }

    std::string errors() const
    {
        std::ifstream file(errorFile());
        return {std::istreambuf_iterator<char>(file), {}};
    }

    std::filesystem::path m_folder;
    test_client m_client;
    std::unique_ptr<child_process> m_store;
    std::unique_ptr<child_process> m_daemon;
    json m_fields;
    std::string m_log;
};

} // namespace

// Each of these ended every start with status 2.
TEST_F(settings_promises, startsWithAnyFormOfAField)
{
    for (const auto *form : {R"({})",
             R"({"bounds": {"grace_s": 6.0}})",
             R"({"bounds": {"grace_s": 6.5, "budget_window_s": 7.5}})",
             R"({"bounds": {"budget_slack": true, "warmup_slack": 1e300}})",
             R"({"bounds": {"grace_s": 0, "retry_budget_ratio": -1}})",
             R"({"bounds": null, "limits": null, "bootstrap": null})",
             R"({"region": null, "internal_port_range": []})",
             R"({"zone": "Medina_1", "node_name": "Edge_Sfax.1"})",
             R"({"zone": null})"}) {
        auto fields = m_fields;
        fields.merge_patch(json::parse(form));
        start(fillTemplate(platformTemplate(), fields));
        EXPECT_TRUE(becomesReady()) << form << "\nstatus " << m_daemon->waitExit(maxExitWait).value_or(-1) << "\n" << errors();
    }
}

TEST_F(settings_promises, endsWithAClearMessageWithoutWhatItCannotServeWithout)
{
    for (const auto &[form, key] : std::vector<std::pair<std::string, std::string>> {{R"({"node_name": null})", "id"},
             {R"({"node_name": "a/b"})", "id"},
             {R"({"bind_addrs": {"frontend": null}})", "clients"},
             {R"({"bind_addrs": {"readiness": "here"}})", "readiness"},
             {R"({"platform": null})", "store"}}) {
        auto fields = m_fields;
        fields.merge_patch(json::parse(form));
        start(fillTemplate(platformTemplate(), fields));
        EXPECT_EQ(m_daemon->waitExit(maxExitWait), exitSettingsInvalid) << form;
        EXPECT_NE(errors().find(key + ": expected "), std::string::npos) << form << "\n" << errors();
    }
    start("id = ");
    EXPECT_EQ(m_daemon->waitExit(maxExitWait), exitSettingsInvalid);
    EXPECT_NE(errors().find("well-formed TOML"), std::string::npos) << errors();
}

// A start while the platform replaced the file ended with status 2.
TEST_F(settings_promises, startsOnceAFileThatIsBeingReplacedIsWhole)
{
    const auto settings = fillTemplate(platformTemplate(), m_fields);
    for (const auto &half : {std::string(), settings.substr(0, 200)}) {
        m_log.clear();
        start(half);
        EXPECT_TRUE(waitForLog("Settings can't be used yet; trying again.")) << m_log;
        writeSettings(settings);
        EXPECT_TRUE(becomesReady()) << "status " << m_daemon->waitExit(maxExitWait).value_or(-1) << "\n" << errors();
    }
    m_log.clear();
    start("id = ");
    EXPECT_TRUE(waitForLog("Settings can't be used yet; trying again.")) << m_log;
    m_daemon->signal(SIGTERM);
    EXPECT_EQ(m_daemon->waitExit(maxExitWait), 0) << "it needn't wait to the end";
}

// Each reading of the file, one in 10 s, repeated the warning, and so did a changed address.
TEST_F(settings_promises, reloadsAsItStartsAndSaysOnceWhatItTakesWithinBounds)
{
    const auto settings = fillTemplate(platformTemplate(), m_fields);
    start(settings);
    ASSERT_TRUE(becomesReady());
    const auto withGrace = [this](const json &grace) {
        m_fields["bounds"]["grace_s"] = grace;
        m_fields["bounds"]["budget_slack"] = "many";
        m_fields["region"] = "elsewhere";
        return fillTemplate(platformTemplate(), m_fields);
    };
    reload(withGrace(7.5));
    EXPECT_TRUE(waitForLog("grace_ms=7500")) << m_log;
    reload(withGrace(8.5));
    EXPECT_TRUE(waitForLog("grace_ms=8500")) << m_log;
    EXPECT_EQ(logCount("key=bounds.retry_slack found="), 1) << m_log;
    reload("id = ");
    EXPECT_TRUE(waitForLog("the previous settings stay in effect")) << m_log;
    reload("id = ");
    reload(withGrace(9));
    EXPECT_TRUE(waitForLog("grace_ms=9000")) << m_log;
    EXPECT_EQ(logCount("the previous settings stay in effect"), 1) << m_log;
    EXPECT_EQ(logCount("take effect after a restart"), 1) << m_log;
    EXPECT_TRUE(m_daemon->running());
}

TEST_F(settings_promises, checkNamesWhatAStartTakesWithinBounds)
{
    start(fillTemplate(platformTemplate(), m_fields), {"--check"});
    EXPECT_EQ(m_daemon->waitExit(maxExitWait), 0) << errors();
    m_fields["bounds"]["budget_slack"] = -1;
    start(fillTemplate(platformTemplate(), m_fields), {"--check"});
    EXPECT_EQ(m_daemon->waitExit(maxExitWait), exitSettingsInvalid);
    EXPECT_NE(errors().find("bounds.retry_slack: expected "), std::string::npos) << errors();
}
