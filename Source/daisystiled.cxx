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

// The exit status, and why.
struct process_end
{
    int status = 0;
    std::string reason;
};

// Environment variable that names the settings file if --config is not given.
constexpr const char *settingsVariable = "DAISYSTILE_NODE_FILE";
constexpr const char *plainFrontDoor = "plain";

constexpr milliseconds maxSettingsWait {2000};
constexpr milliseconds settingsRetry {100};

} // namespace

// The platform sends SIGHUP when settings change, also to a process that has just started, so the signals wait from before the first
// initializer of this program and of the libraries that it needs.
[[gnu::section(".preinit_array"), gnu::used]] static void (*blockSignalsFirst)() = blockTerminationSignals;

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

static process_end failedStart(const process_error &error)
{
    std::ostringstream reason;
    reason << error;
    DAISYSTILE_LOG(ERROR, "daemon") << "Daemon failed to start: " << reason.str() << ".";
    return {error.failure == process_failure::out_of_descriptors ? exitOutOfDescriptors : exitAddressInUse, reason.str()};
}

// Handles no exceptions of the process while it runs: uncaught, they end it with their reason and the stack at which they were thrown.
template<class Listen> static std::optional<process_end> failureToListen(const Listen &listen)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<process_end>> {
            BOOST_LEAF_CHECK(listen());
            return std::optional<process_end>();
        },
        [](const process_error &error) -> std::optional<process_end> { return failedStart(error); },
        []() -> std::optional<process_end> {
            DAISYSTILE_LOG(ERROR, "daemon") << "Daemon failed to start.";
            return process_end {exitAddressInUse, "an address can't be opened"};
        });
}

static process_end stopped()
{
    return {0, "stopped"};
}

static process_end serve(daemon_settings settings, settings_findings &, const daemon_options &)
{
    daemon_process server(std::move(settings));
    std::optional<daemon_addresses> addresses;
    const auto failure = failureToListen([&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(addresses, server.listen());
        return {};
    });
    if (failure) {
        return *failure;
    }
    if (addresses) {
        std::cout << "ready callers=" << toString(addresses->callers) << " operators=" << toString(addresses->operators)
                  << " traffic=" << toString(addresses->traffic) << " control=" << toString(addresses->control) << std::endl;
        server.run();
    }
    return stopped();
}

template<class Settings> using settings_parser = settings_reading<Settings> (*)(std::string_view text, std::string_view fileName);

template<class Settings> static settings_reading<Settings> readSettings(const std::string &file, settings_parser<Settings> parse)
{
    const auto text = readFile(file);
    if (!text) {
        return {std::nullopt, {{{file, 0, "", "settings", "nothing: settings file can't be read"}}}};
    }
    return parse(*text, file);
}

static std::optional<entry_settings> reloadSettings(const std::string &file, settings_findings &findings)
{
    auto reading = readSettings(file, readEntrySettings);
    findings.report(reading.findings);
    return std::move(reading.settings);
}

static process_end serve(entry_settings settings, settings_findings &findings, const daemon_options &options)
{
    entry_process server(std::move(settings), [&findings, file = options.config] { return reloadSettings(file, findings); });
    if (const auto failure = failureToListen([&] { return server.listen(); })) {
        return *failure;
    }
    const auto error = server.run([](const entry_process::addresses &addresses) {
        std::cout << "ready clients=" << toString(addresses.clients) << " readiness=" << toString(addresses.readiness) << std::endl;
    });
    return error ? failedStart(*error) : stopped();
}

static process_end rejectSettings(const std::string &mistakes)
{
    std::cerr << mistakes;
    std::istringstream lines(mistakes);
    for (std::string line; std::getline(lines, line);) {
        DAISYSTILE_LOG(ERROR, "daemon") << "Settings can't be used." << field("mistake", line);
    }
    return {exitSettingsInvalid, "settings can't be used"};
}

template<class Settings> static process_end check(const settings_reading<Settings> &reading, const std::string &file)
{
    std::cerr << toString(reading.findings);
    if (hasMistakes(reading.findings)) {
        return {exitSettingsInvalid, {}};
    }
    std::cout << file << ": settings are valid\n";
    return {0, {}};
}

// The platform may be replacing the file: what is absent or half written may be whole a moment later. False after a termination signal.
template<class Settings> static bool awaitSettings(settings_reading<Settings> &reading, const std::string &file, settings_parser<Settings> parse)
{
    DAISYSTILE_LOG(WARNING, "daemon") << "Settings can't be used yet; trying again." << field("file", file)
                                      << field("wait_ms", static_cast<std::uint64_t>(maxSettingsWait.count()));
    for (auto waited = milliseconds {0}; !reading.settings && waited < maxSettingsWait; waited += settingsRetry) {
        if (terminationWithin(settingsRetry)) {
            return false;
        }
        reading = readSettings(file, parse);
    }
    return true;
}

template<class Settings> static process_end checkOrServe(const daemon_options &options, settings_parser<Settings> parse)
{
    auto reading = readSettings(options.config, parse);
    if (options.checkOnly) {
        return check(reading, options.config);
    }
    if (!reading.settings && !awaitSettings(reading, options.config, parse)) {
        return stopped();
    }
    if (!reading.settings) {
        return rejectSettings(toString(reading.findings));
    }
    settings_findings findings;
    findings.report(reading.findings);
    return serve(std::move(*reading.settings), findings, options);
}

static process_end run(const daemon_options &options)
{
    if (options.frontDoor == plainFrontDoor) {
        return checkOrServe(options, readEntrySettings);
    }
    return checkOrServe(options, readDaemonSettings);
}

static log_destination logDestination(const daemon_options &options)
{
    return options.frontDoor == plainFrontDoor ? log_destination::standard_output : log_destination::standard_error;
}

int main(int argc, char **argv)
{
    openStandardDescriptors();
    blockTerminationSignals();
    const auto options = parseOptions(argc, argv);
    // The output of a check is for a person.
    if (options.checkOnly) {
        return run(options).status;
    }
    startLogging(argv[0], options.logLevel, logDestination(options));
    const auto end = run(options);
    google::LogMessage(__FILE__, __LINE__, end.status == 0 ? google::GLOG_INFO : google::GLOG_ERROR).stream()
        << "daemon: Process ends." << field("status", static_cast<std::uint64_t>(end.status)) << field("reason", end.reason);
    stopLogging();
    return end.status;
}
