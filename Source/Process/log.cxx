#include "log.h"

#include "log_writer.h"

#include <algorithm>
#include <memory>
#include <unistd.h>
#include <utility>

namespace daisystile {

static std::unique_ptr<log_writer> &currentWriter()
{
    static std::unique_ptr<log_writer> writer;
    return writer;
}

void startLogging(const char *program, std::string_view level, log_destination destination)
{
    FLAGS_logtostderr = destination == log_destination::standard_error;
    FLAGS_minloglevel = level == "error" ? google::GLOG_ERROR : level == "warning" ? google::GLOG_WARNING : google::GLOG_INFO;
    google::InitGoogleLogging(program);
    // A crash leaves its stack on standard error.
    google::InstallFailureSignalHandler();
    if (destination == log_destination::standard_error) {
        return;
    }
    // The library's own writing blocks, to a terminal and to files alike; only its formatting is used.
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, "");
    }
    currentWriter() = std::make_unique<log_writer>(STDOUT_FILENO);
    google::AddLogSink(currentWriter().get());
}

void stopLogging()
{
    if (currentWriter()) {
        google::RemoveLogSink(currentWriter().get());
        currentWriter().reset();
    }
}

bool line_budget::take(std::uint64_t nowMicroseconds)
{
    constexpr double microsecondsPerSecond = 1e6;
    const double passed = static_cast<double>(nowMicroseconds - std::min(m_refilled, nowMicroseconds)) / microsecondsPerSecond;
    m_refilled = nowMicroseconds;
    m_available = std::min(burst, m_available + passed * linesPerSecond);
    if (m_available < 1) {
        m_refused += 1;
        return false;
    }
    m_available -= 1;
    return true;
}

std::uint64_t line_budget::takeRefused()
{
    return std::exchange(m_refused, 0);
}

std::string field(std::string_view key, std::string_view value)
{
    std::string text = " ";
    text += key;
    text += '=';
    const bool quoted = value.empty() || value.find_first_of(" \t\n\"") != std::string_view::npos;
    if (!quoted) {
        return text.append(value);
    }
    text += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text += '"';
}

std::string field(std::string_view key, std::uint64_t value)
{
    return field(key, std::to_string(value));
}

} // namespace daisystile
