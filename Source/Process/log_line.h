#pragma once

#include <glog/logging.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace daisystile {

/// UTC time of a log line, such as 2026-08-22T17:17:30.268528Z. Takes no lock and no memory.
class log_time
{
public:
    explicit log_time(std::chrono::system_clock::time_point time);
    std::string_view text() const;

private:
    std::array<char, sizeof "2026-08-22T17:17:30.268528Z" - 1> m_text {};
};

/// A log line that takes no lock and no memory, for signal handlers; what doesn't fit is cut.
class log_line
{
public:
    /// The message starts with its component, such as "daemon: Started."
    log_line(google::LogSeverity severity, std::string_view message);
    void add(std::string_view key, std::string_view value);
    void add(std::string_view key, std::uint64_t value);
    /// Returns the line with its end; valid as long as this object.
    std::string_view finish();

private:
    void append(std::string_view text);

    static constexpr std::size_t maxBytes = 1024;
    std::array<char, maxBytes> m_text;
    std::size_t m_size = 0;
};

} // namespace daisystile
