#include "domain_commands.h"

#include "change_command.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace daisystile {

namespace {

int changeDomain(const std::string &targetState, const std::string &summary, const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine commandLine(summary, ' ', DAISYSTILE_VERSION);
    const common_options common(commandLine);
    TCLAP::UnlabeledValueArg<std::string> name("NAME", "The failure domain.", true, "", "NAME", commandLine);
    TCLAP::SwitchArg force("", "force", "Apply the change even if it interrupts service.", commandLine);
    TCLAP::ValueArg<std::string> change("c", "change-id", "Change id of an earlier attempt whose outcome is unknown.", false, "", "ID", commandLine);
    TCLAP::SwitchArg wait("w", "wait", "Wait until the change is in force on all daemons.", commandLine);
    if (const auto code = parseCommandLine(commandLine, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    if (!settings) {
        return exit_usage;
    }
    if (!isName(name.getValue())) {
        std::cerr << "NAME: expected a name of lower-case letters, digits and hyphens, found \"" << name.getValue() << "\"\n";
        return exit_usage;
    }
    change_call call {.method = "POST", .path = "domains/" + name.getValue() + "/" + targetState, .changeId = change.getValue(), .wait = wait.getValue()};
    if (force.getValue()) {
        call.headers.push_back({"Force", "1"});
    }
    return submitChange(*settings, std::move(call));
}

void printDomains(const nlohmann::json &answer)
{
    for (const auto &domain : answer.value("domains", nlohmann::json::array())) {
        std::cout << domain.value("name", "") << " " << (domain.value("out", false) ? "out" : "in") << "\n";
    }
}

} // namespace

int takeDomainOutOfService(const std::vector<std::string> &arguments)
{
    return changeDomain("out", "Takes a failure domain out of service: it receives no new work, running work finishes.", arguments);
}

int putDomainIntoService(const std::vector<std::string> &arguments)
{
    return changeDomain("in", "Puts a failure domain back into service.", arguments);
}

int listDomains(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine commandLine("Lists the failure domains and whether they are in service.", ' ', DAISYSTILE_VERSION);
    const common_options common(commandLine);
    if (const auto code = parseCommandLine(commandLine, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    return settings ? show(*settings, "domains", printDomains) : exit_usage;
}

} // namespace daisystile
