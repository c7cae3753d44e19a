#include <Request/request.h>

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace daisystile;

static constexpr int exitSettingsWrong = 2;
static constexpr int exitAddressInUse = 3;

namespace {

struct daemon_options
{
    std::string config;
    std::string logLevel;
    bool checkOnly = false;
};

} // namespace

static daemon_options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Serves callers and operators on one host.", ' ', DAISYSTILE_VERSION);
    const TCLAP::ValueArg<std::string> config("c", "config", "Settings file (TOML).", true, "", "FILE", line);
    const TCLAP::SwitchArg check("", "check", "Check the settings file and stop.", line);
    std::vector<std::string> levels {"info", "warning", "error"};
    TCLAP::ValuesConstraint<std::string> allowed(levels);
    const TCLAP::ValueArg<std::string> level("", "log-level", "Least severity that is logged.", false, "info", &allowed, line);
    line.parse(argc, argv);
    return {config.getValue(), level.getValue(), check.getValue()};
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

static int serve(daemon_settings settings)
{
    daemon_process server(std::move(settings));
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(addresses, server.listen());
            std::cout << "ready callers=" << toString(addresses.callers) << " operators=" << toString(addresses.operators)
                      << " traffic=" << toString(addresses.traffic) << " control=" << toString(addresses.control) << std::endl;
            server.run();
            return 0;
        },
        [](const process_error &error) {
            DAISYSTILE_LOG(ERROR, "daemon") << "Can't listen: " << error << ".";
            return exitAddressInUse;
        },
        [] {
            DAISYSTILE_LOG(ERROR, "daemon") << "Can't start.";
            return exitAddressInUse;
        });
}

int main(int argc, char **argv)
{
    blockTerminationSignals();
    const auto options = parseOptions(argc, argv);
    startLogging(argv[0], options.logLevel);
    const auto text = readFile(options.config);
    if (!text) {
        std::cerr << options.config << ": expected a settings file, found none that can be read\n";
        return exitSettingsWrong;
    }
    auto settings = parseDaemonSettings(*text, options.config);
    if (const auto *mistakes = std::get_if<config_mistakes>(&settings)) {
        std::cerr << toString(*mistakes);
        return exitSettingsWrong;
    }
    if (options.checkOnly) {
        std::cout << options.config << ": settings are valid\n";
        return 0;
    }
    return serve(std::move(std::get<daemon_settings>(settings)));
}
