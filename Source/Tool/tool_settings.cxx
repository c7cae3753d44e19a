#include "tool_settings.h"

#include <Version/table_reader.h>

#include <fstream>
#include <sstream>

namespace daisystile {

namespace {

std::string optionOrEnvironment(const std::string &option, const std::map<std::string, std::string> &environment, const std::string &variable)
{
    if (!option.empty()) {
        return option;
    }
    const auto found = environment.find(variable);
    return found == environment.end() ? "" : found->second;
}

void readToolSettings(table_reader &reader, tool_settings &settings)
{
    reader.addresses("daemons", settings.daemons);
    reader.text("token", settings.token, presence::optional);
    reader.text("operator", settings.changedBy, presence::optional);
    reader.choice("format", settings.format, {{"text", output_format::text}, {"json", output_format::json}, {"html", output_format::html}});
}

config_errors singleError(const std::string &source, const std::string &expected, const std::string &found)
{
    return {{{source, 0, "", expected, found}}};
}

} // namespace

std::optional<std::string> readTextFile(const std::string &name)
{
    const std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

parsed<tool_settings> parseToolSettings(std::string_view text, std::string_view fileName)
{
    return parseTable<tool_settings>(text, fileName, readToolSettings);
}

parsed<tool_settings> mergeToolSettings(const tool_options &options, const std::map<std::string, std::string> &environment)
{
    tool_settings settings;
    const auto file = optionOrEnvironment(options.settingsFile, environment, "DAISYSTILE_SETTINGS");
    if (!file.empty()) {
        const auto text = readTextFile(file);
        if (!text) {
            return singleError(file, "a readable settings file", "none");
        }
        auto result = parseToolSettings(*text, file);
        if (std::holds_alternative<config_errors>(result)) {
            return result;
        }
        settings = std::get<tool_settings>(std::move(result));
    }
    const auto daemon = optionOrEnvironment(options.daemon, environment, "DAISYSTILE_DAEMON");
    if (!daemon.empty()) {
        const auto address = leaf::try_handle_all([&]() -> leaf::result<ip_address> { return parseIpAddress(daemon); }, [] { return ip_address {}; });
        if (address.port == 0) {
            return singleError("--daemon", "an address of the form IP:PORT", "\"" + daemon + "\"");
        }
        settings.daemons = {address};
    }
    const auto token = optionOrEnvironment(options.token, environment, "DAISYSTILE_TOKEN");
    settings.token = token.empty() ? settings.token : token;
    const auto changedBy = optionOrEnvironment(options.changedBy, environment, "DAISYSTILE_OPERATOR");
    settings.changedBy = changedBy.empty() ? settings.changedBy : changedBy;
    const auto format = optionOrEnvironment(options.format, environment, "DAISYSTILE_FORMAT");
    if (!format.empty() && format != "text" && format != "json" && format != "html") {
        return singleError("--format", "one of text, json, html", "\"" + format + "\"");
    }
    if (!format.empty()) {
        settings.format = format == "json" ? output_format::json : format == "html" ? output_format::html : output_format::text;
    }
    return settings;
}

} // namespace daisystile
