#include "status_command.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace daisystile {

namespace {

void printStatus(const nlohmann::json &status)
{
    std::cout << "daemon " << status.value("daemon", "") << " in " << status.value("failure_domain", "") << ", "
              << (status.value("ready", false) ? "ready" : "not ready") << ", configuration " << status.value("number", 0) << "\n";
    for (const auto *kind : {"contracts", "services"}) {
        for (const auto &entry : status.value(kind, nlohmann::json::array())) {
            std::cout << kind << " " << entry.value("name", "") << " version " << entry.value("version", 0) << "\n";
        }
    }
    for (const auto &domain : status.value("domains", nlohmann::json::array())) {
        std::cout << "failure domain " << domain.value("name", "") << " " << (domain.value("out", false) ? "out" : "in") << "\n";
    }
    for (const auto &daemon : status.value("daemons", nlohmann::json::array())) {
        const auto number = daemon.value("answered", false) ? "configuration " + std::to_string(daemon.value("number", 0)) : std::string("no answer");
        std::cout << "daemon " << daemon.value("id", "") << " in " << daemon.value("failure_domain", "") << " " << daemon.value("state", "") << ", " << number
                  << "\n";
    }
}

} // namespace

int showStatus(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Shows the status of a daemon, its configuration and the fleet.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    return settings ? show(*settings, "status", printStatus) : exit_usage;
}

} // namespace daisystile
