#pragma once

#include "burn_report.h"

#include <string>

namespace daisystile {

/// The report as one HTML page that needs nothing else.
std::string toHtml(const burn_report &report);

} // namespace daisystile
