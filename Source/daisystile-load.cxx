#include <Load/load.h>
#include <Process/process.h>

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace daisystile;

enum exit_code {
    exit_done = 0,
    exit_plan_invalid = 2,
    exit_plan_unreadable = 3,
};

static int run(const std::string &text, const std::string &format)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(plan, parseLoadPlan(text));
            const auto report = runLoad(plan);
            std::cout << (format == "json" ? toJson(plan, report) : toText(plan, report)) << std::endl;
            return exit_done;
        },
        [](const load_plan_error &invalidPlan) {
            for (const auto &error : invalidPlan.errors) {
                std::cerr << "daisystile-load: " << error << "\n";
            }
            return static_cast<int>(exit_plan_invalid);
        },
        [] {
            std::cerr << "daisystile-load: unexpected error while parsing or running the plan\n";
            return static_cast<int>(exit_plan_invalid);
        });
}

int main(int argc, char **argv)
{
    openStandardDescriptors();
    TCLAP::CmdLine options("Sends requests to daemons at fixed rates, independent of the responses, and reports latency, coverage and outcomes.", ' ', "0.1.0");
    std::vector<std::string> formats {"text", "json"};
    TCLAP::ValuesConstraint<std::string> formatNames(formats);
    TCLAP::ValueArg<std::string> plan("", "plan", "Load plan (JSON); see docs/operators/load.md.", true, "", "FILE", options);
    TCLAP::ValueArg<std::string> format("", "format", "Output format of the report.", false, "text", &formatNames, options);
    options.parse(argc, argv);
    startLogging("daisystile-load", "warning");

    std::ifstream file(plan.getValue());
    if (!file) {
        std::cerr << "daisystile-load: " << plan.getValue() << " can't be opened\n";
        return exit_plan_unreadable;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return run(text.str(), format.getValue());
}
