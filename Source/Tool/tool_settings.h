#pragma once

#include <Version/version.h>

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

enum class output_format {
    text,
    json,
    /// Supported by reports only; other commands print text.
    html,
};

/// Settings of the tool. Command-line options override environment variables, which override the settings file.
struct tool_settings
{
    /// Operators' API addresses of daemons, tried in order.
    std::vector<ip_address> daemons;
    std::string token;
    std::string changedBy;
    output_format format = output_format::text;
};

/// Parses the text of a settings file of the tool: daemons, token, operator, format.
parsed<tool_settings> parseToolSettings(std::string_view text, std::string_view fileName);

/// Command-line options; empty if not given.
struct tool_options
{
    std::string settingsFile;
    std::string daemon;
    std::string token;
    std::string changedBy;
    std::string format;
};

/// Merges command-line options, environment variables (DAISYSTILE_SETTINGS, DAISYSTILE_DAEMON, DAISYSTILE_TOKEN,
/// DAISYSTILE_OPERATOR, DAISYSTILE_FORMAT) and the settings file.
parsed<tool_settings> mergeToolSettings(const tool_options &options, const std::map<std::string, std::string> &environment);

/// Returns the content of a file, or nothing if it can't be read.
std::optional<std::string> readTextFile(const std::string &name);

} // namespace daisystile
