#pragma once

#include <glog/logging.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace daisystile {

enum class log_destination {
    standard_error,
    /// Lines leave on a thread of their own; a reader that stops reading costs lines, not time.
    standard_output,
};

/// Logs from this level on: info, warning or error. A line reads "TIME LEVEL part: Sentence. key=value ...".
void startLogging(const char *program, std::string_view level, log_destination destination = log_destination::standard_error);
/// Writes what still waits, as far as the reader takes it at once.
void stopLogging();

/// One log field: key=value, the value quoted where it holds spaces.
std::string field(std::string_view key, std::string_view value);
std::string field(std::string_view key, std::uint64_t value);

/// Bounds the lines of each part of the program; warnings and errors have a bound of their own, so that they are not
/// crowded out. Times are in microseconds of a clock that doesn't jump.
class line_budget
{
public:
    /// Whether a line may be written now.
    bool take(std::uint64_t nowMicroseconds);
    /// Lines refused since the last call.
    std::uint64_t takeRefused();

    static constexpr double linesPerSecond = 40;
    static constexpr double burst = 80;

private:
    double m_available = burst;
    std::uint64_t m_refilled = 0;
    std::uint64_t m_refused = 0;
};

} // namespace daisystile

/// A log line of one part: DAISYSTILE_LOG(WARNING, "owner") << "Lease lapsed." << field("server", id.value);
#define DAISYSTILE_LOG(severity, part) LOG(severity) << (part) << ": "
