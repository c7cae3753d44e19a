#pragma once

#include "burn_report.h"

#include <string>

namespace daisystile {

/// The report for a terminal.
std::string toText(const burn_report &report);
/// Seconds since the epoch as "2026-12-04 09:10 UTC".
std::string toText(wall_seconds time);
/// A window or slice as "5 min" or "6 h".
std::string lengthText(std::uint32_t lengthS);

} // namespace daisystile
