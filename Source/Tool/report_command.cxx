#include "report_command.h"

#include <iostream>

namespace daisystile {

static const char *nameOf(output_format format)
{
    switch (format) {
    case output_format::text:
        return "text";
    case output_format::json:
        return "json";
    case output_format::html:
        return "html";
    }
    return "text";
}

int reportBurn(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Shows the error budget burn rate of each customer over all daemons.", ' ', DAISYSTILE_VERSION);
    const common_options common(line);
    if (const auto code = parseCommandLine(line, arguments)) {
        return *code;
    }
    const auto settings = common.settings();
    if (!settings) {
        return exit_usage;
    }
    admin_client client(*settings);
    const auto result = client.call("GET", std::string("report/burn?format=") + nameOf(settings->format));
    const auto *reply = successOf(result);
    if (reply == nullptr) {
        return reportFailure(result, *settings);
    }
    std::cout << reply->body;
    return exit_done;
}

} // namespace daisystile
