#pragma once

#include <glog/logging.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace daisystile {

enum class log_destination {
    standard_error,
    /// A separate thread writes the lines; if the reader stalls, lines are dropped and callers don't block.
    standard_output,
};

/// Logs messages of at least this level: info, warning or error. A process that then fails writes its reason as the last line, and a write
/// to a closed pipe or beyond the limit of file sizes doesn't end it.
/// Line format: "TIME LEVEL component: Sentence. key=value ...".
void startLogging(const char *program, std::string_view level, log_destination destination = log_destination::standard_error);
/// Writes the queued lines as far as this is possible without blocking.
void stopLogging();
/// Writes the queued lines and then this one where the log goes, from a thread that ends the process; waits for a short time only.
void writeLastLine(std::string_view line);

/// Formats one log field as key=value; a value that is empty or contains spaces, quotes or control characters is
/// quoted, a long one is cut.
std::string field(std::string_view key, std::string_view value);
std::string field(std::string_view key, std::uint64_t value);

/// Token bucket that limits the rate of log lines of one component. Warnings and errors have a separate limit, so that
/// informational lines can't displace them. Times are in microseconds of a monotonic clock.
class log_rate_limiter
{
public:
    /// Takes one token; returns false if the line must be dropped.
    bool take(std::uint64_t nowMicroseconds);
    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();

    static constexpr double linesPerSecond = 40;
    static constexpr double burst = 80;

private:
    double m_tokens = burst;
    std::uint64_t m_refilledAtMicroseconds = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace daisystile

/// Writes a log line of one component: DAISYSTILE_LOG(WARNING, "owner") << "Lease expired." << field("server", id.value);
#define DAISYSTILE_LOG(severity, component) LOG(severity) << (component) << ": "
