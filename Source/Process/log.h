#pragma once

#include <glog/logging.h>

#include <string>
#include <string_view>

namespace daisystile {

/// Logs to standard error only; the level is info, warning or error.
void startLogging(const char *program, std::string_view level);

/// One log field: key=value, the value quoted where it holds spaces.
std::string field(std::string_view key, std::string_view value);
std::string field(std::string_view key, std::uint64_t value);

} // namespace daisystile

/// A log line of one part: DAISYSTILE_LOG(WARNING, "owner") << "Lease lapsed." << field("server", id.value);
#define DAISYSTILE_LOG(severity, part) LOG(severity) << (part) << ": "
