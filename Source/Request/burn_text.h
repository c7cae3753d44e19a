#pragma once

#include "burn_report.h"

#include <string>

namespace daisystile {

/// Renders the report as plain text for a terminal.
std::string toText(const burn_report &report);
/// Formats seconds since the epoch as "2026-12-04 09:10 UTC".
std::string toText(wall_seconds time);
/// Formats the length of a window or slice as "5 min" or "6 h".
std::string lengthText(std::uint32_t lengthS);

} // namespace daisystile
