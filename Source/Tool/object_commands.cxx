#include "object_commands.h"

#include "change_command.h"
#include "line_diff.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace daisystile {

namespace {

const char *collectionOf(config_kind kind)
{
    return kind == config_kind::contract ? "contracts" : "services";
}

/// Returns the name of the object that a text defines, or the text's errors.
parsed<std::string> parseObjectName(config_kind kind, const std::string &text, const std::string &fileName)
{
    if (kind == config_kind::contract) {
        auto result = parseContract(text, fileName);
        if (auto *errors = std::get_if<config_errors>(&result)) {
            return std::move(*errors);
        }
        return std::get<contract>(result).customer.value;
    }
    auto result = parseService(text, fileName);
    if (auto *errors = std::get_if<config_errors>(&result)) {
        return std::move(*errors);
    }
    return std::get<service>(result).name.value;
}

nlohmann::json jsonOf(const http_reply &reply)
{
    return nlohmann::json::parse(reply.body, nullptr, false);
}

/// Returns the newest accepted version, 0 if the object doesn't exist yet, or an exit code (int) on failure.
std::variant<std::uint64_t, int> newestVersion(const tool_settings &settings, const std::string &path)
{
    admin_client client(settings);
    const auto result = client.call("GET", path);
    if (const auto *reply = successOf(result)) {
        const auto json = jsonOf(*reply);
        return json.is_object() ? json.value("version", std::uint64_t {0}) : 0;
    }
    const auto *reply = std::get_if<http_reply>(&result);
    constexpr int statusNotFound = 404;
    if (reply != nullptr && reply->status == statusNotFound) {
        return std::uint64_t {0};
    }
    return reportFailure(result, settings);
}

int applyText(const tool_settings &settings, config_kind kind, change_call call, const std::string &name, const std::string &expected)
{
    call.method = "PUT";
    call.path = std::string(collectionOf(kind)) + "/" + name;
    auto version = expected;
    if (version.empty()) {
        const auto newest = newestVersion(settings, call.path);
        if (const auto *code = std::get_if<int>(&newest)) {
            return *code;
        }
        version = std::to_string(std::get<std::uint64_t>(newest));
    }
    call.headers.push_back({"Expected-Version", version});
    return submitChange(settings, std::move(call));
}

void printList(const nlohmann::json &list)
{
    for (const auto &entry : list) {
        std::cout << entry.value("name", "") << " version " << entry.value("version", 0) << "\n";
    }
}

void printHistory(const nlohmann::json &history)
{
    for (const auto &record : history) {
        std::cout << "version " << record.value("version", 0) << " at " << record.value("at", 0) << " by " << record.value("operator", "") << " change "
                  << record.value("change_id", "") << "\n";
    }
}

std::optional<std::string> textOfVersion(const nlohmann::json &history, std::uint64_t version)
{
    for (const auto &record : history) {
        if (record.value("version", std::uint64_t {0}) == version) {
            return record.value("text", "");
        }
    }
    return std::nullopt;
}

int reportMissingVersion(const std::string &name, std::uint64_t version)
{
    std::cerr << name << ": version " << version << " is not in the retained history\n";
    return exit_not_found;
}

std::variant<nlohmann::json, int> historyOf(const tool_settings &settings, config_kind kind, const std::string &name)
{
    admin_client client(settings);
    const auto result = client.call("GET", std::string(collectionOf(kind)) + "/" + name + "/history");
    if (const auto *reply = successOf(result)) {
        return jsonOf(*reply);
    }
    return reportFailure(result, settings);
}

} // namespace

int applyObject(config_kind kind, const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line(std::string("Checks a ") + toString(kind) + " and applies it.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    TCLAP::UnlabeledValueArg<std::string> file("FILE", "TOML file that defines it.", true, "", "FILE", line);
    TCLAP::ValueArg<std::string> expected("e", "expected-version", "Version to replace; defaults to the newest.", false, "", "N", line);
    TCLAP::ValueArg<std::string> change("c", "change-id", "Change id of an earlier attempt whose outcome is unknown.", false, "", "ID", line);
    TCLAP::SwitchArg wait("w", "wait", "Wait until the change is in force on all daemons.", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    const auto text = readTextFile(file.getValue());
    if (!settings || !text) {
        std::cerr << (text ? "" : file.getValue() + ": can't be read\n");
        return exit_usage;
    }
    const auto name = parseObjectName(kind, *text, file.getValue());
    if (const auto *errors = std::get_if<config_errors>(&name)) {
        std::cerr << toString(*errors);
        return exit_rejected;
    }
    const change_call call {.body = *text, .changeId = change.getValue(), .fileName = file.getValue(), .wait = wait.getValue()};
    return applyText(*settings, kind, call, std::get<std::string>(name), expected.getValue());
}

int listObjects(config_kind kind, const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Lists the objects in force and their versions.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    return settings ? show(*settings, collectionOf(kind), printList) : exit_usage;
}

int getObject(config_kind kind, const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Prints the newest text.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    TCLAP::UnlabeledValueArg<std::string> name("NAME", "Name of the object.", true, "", "NAME", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    const auto print = [](const nlohmann::json &record) {
        std::cout << record.value("text", "");
    };
    return settings ? show(*settings, std::string(collectionOf(kind)) + "/" + name.getValue(), print) : exit_usage;
}

int objectHistory(config_kind kind, const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Lists the accepted changes, newest first.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    TCLAP::UnlabeledValueArg<std::string> name("NAME", "Name of the object.", true, "", "NAME", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    return settings ? show(*settings, std::string(collectionOf(kind)) + "/" + name.getValue() + "/history", printHistory) : exit_usage;
}

int diffObject(config_kind kind, const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Shows the differences between two versions.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    TCLAP::UnlabeledValueArg<std::string> name("NAME", "Name of the object.", true, "", "NAME", line);
    TCLAP::UnlabeledValueArg<std::uint64_t> from("FROM", "Old version.", true, 0, "FROM", line);
    TCLAP::UnlabeledValueArg<std::uint64_t> to("TO", "New version.", true, 0, "TO", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    if (!settings) {
        return exit_usage;
    }
    const auto history = historyOf(*settings, kind, name.getValue());
    if (const auto *code = std::get_if<int>(&history)) {
        return *code;
    }
    const auto &records = std::get<nlohmann::json>(history);
    const auto before = textOfVersion(records, from.getValue());
    const auto after = textOfVersion(records, to.getValue());
    if (!before || !after) {
        return reportMissingVersion(name.getValue(), before ? to.getValue() : from.getValue());
    }
    std::cout << lineDiff(*before, *after);
    return exit_done;
}

int revertObject(config_kind kind, const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Applies the text of an earlier version as a new version.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    TCLAP::UnlabeledValueArg<std::string> name("NAME", "Name of the object.", true, "", "NAME", line);
    TCLAP::UnlabeledValueArg<std::uint64_t> version("VERSION", "Version to restore.", true, 0, "VERSION", line);
    TCLAP::ValueArg<std::string> change("c", "change-id", "Change id of an earlier attempt whose outcome is unknown.", false, "", "ID", line);
    TCLAP::SwitchArg wait("w", "wait", "Wait until the change is in force on all daemons.", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    if (!settings) {
        return exit_usage;
    }
    const auto history = historyOf(*settings, kind, name.getValue());
    if (const auto *code = std::get_if<int>(&history)) {
        return *code;
    }
    const auto text = textOfVersion(std::get<nlohmann::json>(history), version.getValue());
    if (!text) {
        return reportMissingVersion(name.getValue(), version.getValue());
    }
    const change_call call {.body = *text, .changeId = change.getValue(), .fileName = name.getValue(), .wait = wait.getValue()};
    return applyText(*settings, kind, call, name.getValue(), "");
}

} // namespace daisystile
