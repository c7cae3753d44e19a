#pragma once

#include "load_figures.h"

#include <optional>
#include <string>

namespace daisystile {

/// What became of one control step.
struct step_outcome
{
    std::size_t step = 0;
    microseconds at {0};
    /// HTTP status; 0 when no answer came.
    int status = 0;
};

struct load_report
{
    load_figures figures;
    std::vector<step_outcome> steps;
    /// Records of the backend servers within the run; none when a control address didn't answer.
    std::optional<backend_records> records;
};

std::string toJson(const load_plan &plan, const load_report &report);
std::string toText(const load_plan &plan, const load_report &report);

} // namespace daisystile
