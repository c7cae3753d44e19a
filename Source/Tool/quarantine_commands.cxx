#include "quarantine_commands.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace daisystile {

using nlohmann::json;

static void printList(const json &list)
{
    for (const auto &entry : list) {
        std::cout << entry.value("service", "") << " " << entry.value("fingerprint", "") << " ends in " << entry.value("seconds_left", 0) << " s\n";
    }
    if (list.empty()) {
        std::cout << "no request is quarantined\n";
    }
}

int listQuarantine(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Lists requests that are quarantined because they crashed backend servers.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    return settings ? show(*settings, "quarantine", printList) : exit_usage;
}

int liftQuarantine(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Lifts the quarantine of a request immediately.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    TCLAP::UnlabeledValueArg<std::string> service("SERVICE", "The service.", true, "", "SERVICE", line);
    TCLAP::UnlabeledValueArg<std::string> requestFingerprint(
        "FINGERPRINT", "Fingerprint of the request, as shown by 'quarantine list'.", true, "", "FINGERPRINT", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    if (!settings) {
        return exit_usage;
    }
    admin_client client(*settings);
    const auto result = client.call("DELETE", "quarantine/" + service.getValue() + "/" + requestFingerprint.getValue());
    if (successOf(result) == nullptr) {
        return reportFailure(result, *settings);
    }
    std::cout << "lifted\n";
    return exit_done;
}

} // namespace daisystile
