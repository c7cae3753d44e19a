#include <Forward/forward.h>
#include <Request/request.h>

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace daisystile;

static constexpr int exitSettingsInvalid = 2;
static constexpr int exitAddressInUse = 3;
static constexpr int exitOutOfDescriptors = 4;

namespace {

struct daemon_options
{
    std::string config;
    std::string logLevel;
    std::string frontDoor;
    bool checkOnly = false;
};

// Environment variable that names the settings file if --config is not given.
constexpr const char *settingsVariable = "DAISYSTILE_NODE_FILE";
constexpr const char *plainFrontDoor = "plain";

} // namespace

static daemon_options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Serves callers and operators on one host.", ' ', DAISYSTILE_VERSION);
    const auto *fromEnvironment = std::getenv(settingsVariable);
    const TCLAP::ValueArg<std::string> config("c",
        "config",
        std::string("Settings file (TOML); defaults to the file named by ") + settingsVariable + ".",
        fromEnvironment == nullptr,
        fromEnvironment == nullptr ? "" : fromEnvironment,
        "FILE",
        line);
    std::vector<std::string> frontDoors {"callers-api", plainFrontDoor};
    TCLAP::ValuesConstraint<std::string> allowedFrontDoors(frontDoors);
    const TCLAP::ValueArg<std::string> frontDoorOption("",
        "front-door",
        "Protocol of the clients: the callers' API, or plain HTTP routed by host and path.",
        false,
        frontDoors.front(),
        &allowedFrontDoors,
        line);
    const TCLAP::SwitchArg check("", "check", "Check the settings file and exit.", line);
    std::vector<std::string> levels {"info", "warning", "error"};
    TCLAP::ValuesConstraint<std::string> allowedLevels(levels);
    const TCLAP::ValueArg<std::string> level("", "log-level", "Minimum severity of logged messages.", false, "info", &allowedLevels, line);
    line.parse(argc, argv);
    return {config.getValue(), level.getValue(), frontDoorOption.getValue(), check.getValue()};
}

static std::optional<std::string> readFile(const std::string &name)
{
    const std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template<class Start> static int serveAndReportErrors(const Start &start)
{
    return leaf::try_handle_all(
        start,
        [](const process_error &error) {
            DAISYSTILE_LOG(ERROR, "daemon") << "Daemon failed to start: " << error << ".";
            return error.failure == process_failure::out_of_descriptors ? exitOutOfDescriptors : exitAddressInUse;
        },
        [] {
            DAISYSTILE_LOG(ERROR, "daemon") << "Daemon failed to start.";
            return exitAddressInUse;
        });
}

static int serve(daemon_settings settings, const daemon_options &)
{
    daemon_process server(std::move(settings));
    return serveAndReportErrors([&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(addresses, server.listen());
        std::cout << "ready callers=" << toString(addresses.callers) << " operators=" << toString(addresses.operators)
                  << " traffic=" << toString(addresses.traffic) << " control=" << toString(addresses.control) << std::endl;
        server.run();
        return 0;
    });
}

static std::optional<entry_settings> reloadSettings(const std::string &file)
{
    const auto text = readFile(file);
    if (!text) {
        DAISYSTILE_LOG(ERROR, "daemon") << "Settings file can't be read." << field("file", file);
        return std::nullopt;
    }
    auto settings = parseEntrySettings(*text, file);
    if (const auto *errors = std::get_if<config_errors>(&settings)) {
        DAISYSTILE_LOG(ERROR, "daemon") << "Settings file is invalid; the previous settings stay in effect." << field("mistakes", toString(*errors));
        return std::nullopt;
    }
    return std::get<entry_settings>(std::move(settings));
}

static int serve(entry_settings settings, const daemon_options &options)
{
    entry_process server(std::move(settings), [file = options.config] { return reloadSettings(file); });
    return serveAndReportErrors([&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(addresses, server.listen());
        std::cout << "ready clients=" << toString(addresses.clients) << " readiness=" << toString(addresses.readiness) << std::endl;
        server.run();
        stopLogging();
        return 0;
    });
}

template<class Settings> static int checkAndServe(parsed<Settings> settings, const daemon_options &options)
{
    if (const auto *errors = std::get_if<config_errors>(&settings)) {
        std::cerr << toString(*errors);
        return exitSettingsInvalid;
    }
    if (options.checkOnly) {
        std::cout << options.config << ": settings are valid\n";
        return 0;
    }
    return serve(std::move(std::get<Settings>(settings)), options);
}

int main(int argc, char **argv)
{
    openStandardDescriptors();
    blockTerminationSignals();
    const auto options = parseOptions(argc, argv);
    startLogging(argv[0], options.logLevel, options.frontDoor == plainFrontDoor ? log_destination::standard_output : log_destination::standard_error);
    const auto text = readFile(options.config);
    if (!text) {
        std::cerr << options.config << ": settings file can't be read\n";
        return exitSettingsInvalid;
    }
    if (options.frontDoor == plainFrontDoor) {
        return checkAndServe(parseEntrySettings(*text, options.config), options);
    }
    return checkAndServe(parseDaemonSettings(*text, options.config), options);
}
