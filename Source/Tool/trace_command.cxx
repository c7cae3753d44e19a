#include "trace_command.h"

#include <Connection/connection.h>

#include <algorithm>
#include <iostream>
#include <sstream>

namespace daisystile {

int getTrace(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Prints the slot gate trace that a daemon recorded for one backend server.", ' ', DAISYSTILE_VERSION);
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

static std::string actionsOrNothing(const std::string &actions)
{
    return actions.empty() ? "nothing" : actions;
}

static int printReplay(const replayed_trace &trace, const std::string &file)
{
    std::cout << trace.decisions;
    if (trace.difference) {
        std::cerr << file << ":" << trace.difference->line << ": expected " << actionsOrNothing(trace.difference->expected) << ", found "
                  << actionsOrNothing(trace.difference->found) << "\n";
        return exit_failed;
    }
    std::cout << "# " << trace.steps << " steps, all decided as recorded\n";
    return exit_done;
}

int replayTrace(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Replays a recorded trace and reports the first decision that differs.", ' ', DAISYSTILE_VERSION);
    TCLAP::UnlabeledValueArg<std::string> file("FILE", "The trace.", true, "", "FILE", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto text = readTextFile(file.getValue());
    if (!text) {
        std::cerr << file.getValue() << ": can't be read\n";
        return exit_usage;
    }
    const auto result = replayGateTrace(*text);
    if (const auto *error = std::get_if<trace_syntax_error>(&result)) {
        std::cerr << file.getValue() << ":" << error->line << ": expected " << error->expected << ", found " << error->found << "\n";
        return exit_rejected;
    }
    return printReplay(std::get<replayed_trace>(result), file.getValue());
}

// Each line begins with a timestamp whose text order is its time order.
static std::vector<std::string> linesOfRequest(const std::string &text, const std::string &request)
{
    std::vector<std::string> found;
    std::istringstream lines(text);
    const auto wanted = field("request", request);
    for (std::string line; std::getline(lines, line);) {
        const auto at = line.find(wanted);
        const auto end = at + wanted.size();
        if (at != std::string::npos && (end == line.size() || line[end] == ' ')) {
            found.push_back(line);
        }
    }
    return found;
}

int traceRequest(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Prints the log lines of one request from the logs of several processes, sorted by time.", ' ', DAISYSTILE_VERSION);
    TCLAP::UnlabeledValueArg<std::string> request("ID", "Id of the request.", true, "", "ID", line);
    TCLAP::UnlabeledMultiArg<std::string> files("FILE", "Log files.", true, "FILE", line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    std::vector<std::string> found;
    for (const auto &file : files.getValue()) {
        const auto text = readTextFile(file);
        if (!text) {
            std::cerr << file << ": can't be read\n";
            return exit_usage;
        }
        for (auto &each : linesOfRequest(*text, request.getValue())) {
            found.push_back(std::move(each));
        }
    }
    std::stable_sort(found.begin(), found.end());
    for (const auto &each : found) {
        std::cout << each << "\n";
    }
    return found.empty() ? exit_failed : exit_done;
}

} // namespace daisystile
