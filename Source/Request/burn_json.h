#pragma once

#include "burn_report.h"

#include <string>

namespace daisystile {

/// Renders the report as JSON.
std::string toJson(const burn_report &report);

} // namespace daisystile
