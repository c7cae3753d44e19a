#pragma once

#include "burn_report.h"

#include <string>

namespace daisystile {

/// The report for programs.
std::string toJson(const burn_report &report);

} // namespace daisystile
