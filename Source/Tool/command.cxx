#include "command.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>

namespace daisystile {

namespace {

constexpr int firstErrorStatus = 300;

std::map<std::string, std::string> toolEnvironment()
{
    std::map<std::string, std::string> values;
    for (const auto *name : {"DAISYSTILE_SETTINGS", "DAISYSTILE_DAEMON", "DAISYSTILE_TOKEN", "DAISYSTILE_OPERATOR", "DAISYSTILE_FORMAT"}) {
        const auto *value = std::getenv(name);
        if (value != nullptr) {
            values[name] = value;
        }
    }
    return values;
}

/// Prevents TCLAP from exiting the process.
class command_output : public TCLAP::StdOutput
{
public:
    void failure(TCLAP::CmdLineInterface &line, TCLAP::ArgException &error) override
    {
        std::cerr << line.getProgramName() << ": " << error.error() << " " << error.argId() << "\n";
        throw TCLAP::ExitException(exit_usage);
    }
};

int exitCodeFor(int status, const std::string &outcome)
{
    if (outcome == "conflict") {
        return exit_conflict;
    }
    if (outcome == "unknown") {
        return exit_unknown;
    }
    if (outcome == "needs_force") {
        return exit_needs_force;
    }
    constexpr int statusUnauthorized = 401;
    constexpr int statusNotFound = 404;
    if (status == statusUnauthorized) {
        return exit_unauthorized;
    }
    return status == statusNotFound ? exit_not_found : exit_rejected;
}

void printProblem(const nlohmann::json &problem, const std::string &fileName)
{
    const auto outcome = problem.value("outcome", "rejected");
    std::cerr << outcome << ": " << problem.value("why", "no reason given") << "\n";
    for (const auto &error : problem.value("mistakes", nlohmann::json::array())) {
        std::cerr << config_error {fileName, error.value("line", 0U), error.value("key", ""), error.value("expected", ""), error.value("found", "")} << "\n";
    }
    for (const auto &loss : problem.value("losses", std::vector<std::string> {})) {
        std::cerr << "  lost: " << loss << "\n";
    }
    if (outcome == "needs_force") {
        std::cerr << "Use --force to apply the change anyway.\n";
    }
    if (outcome == "conflict") {
        std::cerr << "--- version " << problem.value("version", 0) << " by " << problem.value("operator", "") << "\n"
                  << problem.value("current", "") << "+++ offered\n"
                  << problem.value("offered", "");
    }
}

} // namespace

struct common_options::arguments
{
    explicit arguments(TCLAP::CmdLine &line)
        : settingsFile("s", "settings", "Settings file (TOML): daemons, token, operator, format.", false, "", "FILE", line),
          daemon("d", "daemon", "Operators' address of a daemon.", false, "", "IP:PORT", line),
          token("t", "token", "Operators' token; preferably set in DAISYSTILE_TOKEN or the settings file.", false, "", "TOKEN", line),
          changedBy("o", "operator", "Name of the operator, recorded in the history.", false, "", "NAME", line),
          format("f", "format", "Output format: text or json; reports also support html.", false, "", "FORMAT", line)
    {
    }

    TCLAP::ValueArg<std::string> settingsFile;
    TCLAP::ValueArg<std::string> daemon;
    TCLAP::ValueArg<std::string> token;
    TCLAP::ValueArg<std::string> changedBy;
    TCLAP::ValueArg<std::string> format;
};

common_options::common_options(TCLAP::CmdLine &line)
    : m_arguments(std::make_unique<arguments>(line))
{
}

common_options::~common_options() = default;

std::optional<tool_settings> common_options::settings() const
{
    const tool_options options {m_arguments->settingsFile.getValue(),
        m_arguments->daemon.getValue(),
        m_arguments->token.getValue(),
        m_arguments->changedBy.getValue(),
        m_arguments->format.getValue()};
    auto result = mergeToolSettings(options, toolEnvironment());
    if (const auto *errors = std::get_if<config_errors>(&result)) {
        std::cerr << toString(*errors);
        return std::nullopt;
    }
    return std::get<tool_settings>(std::move(result));
}

std::optional<int> parseCommandLine(TCLAP::CmdLine &line, const std::vector<std::string> &arguments)
{
    command_output output;
    line.setOutput(&output);
    line.setExceptionHandling(false);
    std::vector<std::string> words = arguments;
    try {
        line.parse(words);
    } catch (TCLAP::ArgException &error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return exit_usage;
    } catch (const TCLAP::ExitException &end) {
        return end.getExitStatus();
    }
    return std::nullopt;
}

const http_reply *successOf(const http_result &result)
{
    const auto *reply = std::get_if<http_reply>(&result);
    return reply != nullptr && reply->status < firstErrorStatus ? reply : nullptr;
}

int reportFailure(const http_result &result, const tool_settings &settings, const std::string &fileName)
{
    if (const auto *failure = std::get_if<http_failure>(&result)) {
        std::cerr << (failure->mayHaveBeenSent ? "unknown: no answer received from the daemon: " : "unreachable: ") << failure->message << "\n";
        return failure->mayHaveBeenSent ? exit_unknown : exit_unreachable;
    }
    const auto &reply = std::get<http_reply>(result);
    const auto problem = nlohmann::json::parse(reply.body, nullptr, false);
    if (!problem.is_object()) {
        std::cerr << "rejected: status " << reply.status << "\n";
        return exit_rejected;
    }
    if (settings.format == output_format::json) {
        std::cout << problem.dump() << "\n";
    } else {
        printProblem(problem, fileName);
    }
    return exitCodeFor(reply.status, problem.value("outcome", "rejected"));
}

int show(const tool_settings &settings, const std::string &path, void (*print)(const nlohmann::json &))
{
    admin_client client(settings);
    const auto result = client.call("GET", path);
    const auto *reply = successOf(result);
    if (reply == nullptr) {
        return reportFailure(result, settings);
    }
    if (settings.format == output_format::json) {
        std::cout << reply->body;
    } else {
        print(nlohmann::json::parse(reply->body, nullptr, false));
    }
    return exit_done;
}

} // namespace daisystile
