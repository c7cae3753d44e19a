#pragma once

#include "load_report.h"

namespace daisystile {

/// Sends the plan's control steps at their times; returns after all have finished.
std::vector<step_outcome> runSteps(const load_plan &plan, monotonic_time start);

/// Reads what the simulated backend servers have recorded so far; returns nothing if one of them doesn't respond.
std::optional<backend_records> readRecords(const std::vector<ip_address> &addresses);
/// The difference between two readings.
backend_records recordsSince(const backend_records &earlier, const backend_records &later);

} // namespace daisystile
