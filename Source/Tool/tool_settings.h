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
    /// Reports only; others show text.
    html,
};

/// How the tool reaches a daemon; options go before the environment, the environment before the file.
struct tool_settings
{
    /// Operators' addresses of daemons, tried in order.
    std::vector<ip_address> daemons;
    std::string token;
    std::string changedBy;
    output_format format = output_format::text;
};

/// Reads a tool's settings file: daemons, token, operator, format.
parsed<tool_settings> parseToolSettings(std::string_view text, std::string_view fileName);

/// What was given on the command line; empty where nothing was.
struct tool_options
{
    std::string settingsFile;
    std::string daemon;
    std::string token;
    std::string changedBy;
    std::string format;
};

/// Merges options, environment (DAISYSTILE_SETTINGS, DAISYSTILE_DAEMON, DAISYSTILE_TOKEN, DAISYSTILE_OPERATOR,
/// DAISYSTILE_FORMAT) and file.
parsed<tool_settings> mergeToolSettings(const tool_options &options, const std::map<std::string, std::string> &environment);

/// The whole file, or nothing when it can't be read.
std::optional<std::string> readTextFile(const std::string &name);

} // namespace daisystile
