#pragma once

#include "admin_client.h"
#include "exit_codes.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace daisystile {

/// A subcommand of the tool; commands.cxx lists all of them.
struct command
{
    /// One or two words, such as "contract apply".
    std::string name;
    std::string summary;
    /// Runs the subcommand. The first argument is the program and command name. Returns an exit code.
    int (*run)(const std::vector<std::string> &arguments);
};

/// All subcommands, in the order of the help text.
std::vector<command> allCommands();

/// The options shared by all subcommands that connect to a daemon.
class common_options
{
public:
    explicit common_options(TCLAP::CmdLine &line);
    ~common_options();

    /// Returns the merged settings; reports errors on standard error and returns nothing if there are any.
    std::optional<tool_settings> settings() const;

private:
    struct arguments;
    std::unique_ptr<arguments> m_arguments;
};

/// Parses the command line. Returns an exit code if the tool must exit, as after --help or an invalid option.
std::optional<int> parseCommandLine(TCLAP::CmdLine &line, const std::vector<std::string> &arguments);

/// Prints an unsuccessful result on standard error and returns the exit code. If the format is JSON, the reply is
/// printed on standard output.
int reportFailure(const http_result &result, const tool_settings &settings, const std::string &fileName = "");

/// The reply if the call succeeded, else null.
const http_reply *successOf(const http_result &result);

/// Fetches a path and prints the reply, as JSON or through the function for text output. Returns an exit code.
int show(const tool_settings &settings, const std::string &path, void (*print)(const nlohmann::json &));

} // namespace daisystile
