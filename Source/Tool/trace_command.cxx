#include "trace_command.h"

#include <Connection/connection.h>

#include <iostream>

namespace daisystile {

int getTrace(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Prints what a daemon recorded of one backend server's slot gate.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    TCLAP::UnlabeledValueArg<std::string> server("SERVER", "The backend server.", true, "", "SERVER", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    if (!settings) {
        return exit_usage;
    }
    admin_client client(*settings);
    const auto result = client.call("GET", "trace/gate?server=" + server.getValue());
    const auto *reply = successOf(result);
    if (reply == nullptr) {
        return reportFailure(result, *settings);
    }
    std::cout << reply->body;
    return exit_done;
}

static std::string orNothing(const std::string &actions)
{
    return actions.empty() ? "nothing" : actions;
}

static int show(const replayed_trace &trace, const std::string &file)
{
    std::cout << trace.decisions;
    if (trace.difference) {
        std::cerr << file << ":" << trace.difference->line << ": expected " << orNothing(trace.difference->expected) << ", found "
                  << orNothing(trace.difference->found) << "\n";
        return exit_failed;
    }
    std::cout << "# " << trace.steps << " steps, all decided as recorded\n";
    return exit_done;
}

int replayTrace(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Replays a recorded trace through the same decisions and tells the first difference.", ' ', DAISYSTILE_VERSION);
    TCLAP::UnlabeledValueArg<std::string> file("FILE", "The trace.", true, "", "FILE", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto text = readTextFile(file.getValue());
    if (!text) {
        std::cerr << file.getValue() << ": expected a trace, found none that can be read\n";
        return exit_usage;
    }
    const auto result = replayGateTrace(*text);
    if (const auto *mistake = std::get_if<trace_mistake>(&result)) {
        std::cerr << file.getValue() << ":" << mistake->line << ": expected " << mistake->expected << ", found " << mistake->found << "\n";
        return exit_rejected;
    }
    return show(std::get<replayed_trace>(result), file.getValue());
}

} // namespace daisystile
