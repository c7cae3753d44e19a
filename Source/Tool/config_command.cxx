#include "config_command.h"

#include <iostream>

namespace daisystile {

namespace {

template<class T> std::string errorTextOf(const parsed<T> &result)
{
    const auto *errors = std::get_if<config_errors>(&result);
    return errors == nullptr ? "" : toString(*errors);
}

std::string checkText(const std::string &kind, const std::string &text, const std::string &file)
{
    if (kind == "contract") {
        return errorTextOf(parseContract(text, file));
    }
    if (kind == "service") {
        return errorTextOf(parseService(text, file));
    }
    if (kind == "domains") {
        return errorTextOf(parseFailureDomains(text, file));
    }
    if (kind == "tool") {
        return errorTextOf(parseToolSettings(text, file));
    }
    return errorTextOf(parseDaemonSettings(text, file));
}

} // namespace

int checkConfig(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Checks a configuration file without a daemon and reports every mistake.", ' ', DAISYSTILE_VERSION);
    TCLAP::UnlabeledValueArg<std::string> file("FILE", "The file to check.", true, "", "FILE", line);
    std::vector<std::string> kinds {"daemon", "contract", "service", "domains", "tool"};
    TCLAP::ValuesConstraint<std::string> allowed(kinds);
    TCLAP::ValueArg<std::string> kind("k", "kind", "Kind of the file.", false, "daemon", &allowed, line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto text = readTextFile(file.getValue());
    if (!text) {
        std::cerr << file.getValue() << ": can't be read\n";
        return exit_usage;
    }
    const auto errors = checkText(kind.getValue(), *text, file.getValue());
    if (!errors.empty()) {
        std::cerr << errors;
        return exit_rejected;
    }
    std::cout << file.getValue() << ": valid\n";
    return exit_done;
}

} // namespace daisystile
