#pragma once

#include "load_statistics.h"

#include <optional>
#include <string>

namespace daisystile {

/// Result of one control step.
struct step_outcome
{
    std::size_t step = 0;
    microseconds at {0};
    /// HTTP status; 0 if no response was received.
    int status = 0;
};

struct load_report
{
    load_statistics statistics;
    std::vector<step_outcome> steps;
    /// What the backend servers recorded during the run; nothing if a control address didn't respond.
    std::optional<backend_records> records;
};

std::string toJson(const load_plan &plan, const load_report &report);
std::string toText(const load_plan &plan, const load_report &report);

} // namespace daisystile
