#pragma once

#include "load_report.h"

namespace daisystile {

/// Sends the plan's control steps at their times; returns when all have been answered.
std::vector<step_outcome> runSteps(const load_plan &plan, monotonic_time start);

/// Reads what the backend server stand-ins recorded so far; none when one doesn't answer.
std::optional<backend_records> readRecords(const std::vector<ip_address> &addresses);
/// What was recorded after an earlier reading.
backend_records recordsSince(const backend_records &earlier, const backend_records &later);

} // namespace daisystile
