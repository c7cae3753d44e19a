#include "domain_commands.h"

#include "change_command.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace daisystile {

namespace {

int changeDomain(const std::string &direction, const std::string &summary, const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line(summary, ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    TCLAP::UnlabeledValueArg<std::string> name("NAME", "The failure domain.", true, "", "NAME", line);
    TCLAP::SwitchArg force("", "force", "Do it although service would be lost.", line);
    TCLAP::ValueArg<std::string> change("c", "change-id", "Id of an earlier send of this change whose outcome is unknown.", false, "", "ID", line);
    TCLAP::SwitchArg wait("w", "wait", "Wait until it is in force everywhere.", line);
    if (const auto code = parseCommandLine(line, arguments)) {
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
    change_call call {.method = "POST", .path = "domains/" + name.getValue() + "/" + direction, .change = change.getValue(), .wait = wait.getValue()};
    if (force.getValue()) {
        call.headers.push_back({"Force", "1"});
    }
    return carryOutChange(*settings, std::move(call));
}

void printDomains(const nlohmann::json &answer)
{
    for (const auto &domain : answer.value("domains", nlohmann::json::array())) {
        std::cout << domain.value("name", "") << " " << (domain.value("out", false) ? "out" : "in") << "\n";
    }
}

} // namespace

int takeDomainOut(const std::vector<std::string> &arguments)
{
    return changeDomain("out", "Takes a failure domain out of service: no new work there, running work finishes.", arguments);
}

int takeDomainIn(const std::vector<std::string> &arguments)
{
    return changeDomain("in", "Takes a failure domain back into service.", arguments);
}

int listDomains(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Lists the failure domains and whether they are in service.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    return settings ? show(*settings, "domains", printDomains) : exit_usage;
}

} // namespace daisystile
