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

/// One subcommand; each has a file of its own and is listed in commands.cxx.
struct command
{
    /// One or two words, such as "contract apply".
    std::string name;
    std::string summary;
    /// Runs with the program's and command's name, then the arguments; returns an exit code.
    int (*run)(const std::vector<std::string> &arguments);
};

/// All subcommands in the order that help shows them.
std::vector<command> allCommands();

/// The options that every subcommand takes that talks to a daemon.
class common_options
{
public:
    explicit common_options(TCLAP::CmdLine &line);
    ~common_options();

    /// Reports mistakes on standard error; nothing when there are any.
    std::optional<tool_settings> settings() const;

private:
    struct arguments;
    std::unique_ptr<arguments> m_arguments;
};

/// Parses; an exit code when the tool ends here, as after help or a wrong option.
std::optional<int> parseCommandLine(TCLAP::CmdLine &line, const std::vector<std::string> &arguments);

/// Prints a reply that is no success on standard error and chooses the exit code.
int reportFailure(const http_result &result, const tool_settings &settings, const std::string &fileName = "");

/// A success reply, or nothing.
const http_reply *successOf(const http_result &result);

/// GETs a path and prints the reply as JSON or by a function for text; returns an exit code.
int show(const tool_settings &settings, const std::string &path, void (*print)(const nlohmann::json &));

} // namespace daisystile
