#pragma once

#include "burn_report.h"

#include <string>

namespace daisystile {

/// Renders the report as one self-contained HTML page.
std::string toHtml(const burn_report &report);

} // namespace daisystile
