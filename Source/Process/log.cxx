#include "log.h"

#include "failure_report.h"
#include "log_writer.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <unistd.h>
#include <utility>

namespace daisystile {

static bool isControl(char c)
{
    constexpr unsigned char lastControl = 0x1f;
    constexpr unsigned char deleteCode = 0x7f;
    const auto code = static_cast<unsigned char>(c);
    return code <= lastControl || code == deleteCode;
}

static std::unique_ptr<log_writer> &currentWriter()
{
    static std::unique_ptr<log_writer> writer;
    return writer;
}

// The same for signal handlers.
static std::atomic<log_writer *> lastLineWriter = nullptr;

void startLogging(const char *program, std::string_view level, log_destination destination)
{
    FLAGS_logtostderr = destination == log_destination::standard_error;
    FLAGS_minloglevel = level == "error" ? google::GLOG_ERROR : level == "warning" ? google::GLOG_WARNING : google::GLOG_INFO;
    google::InitGoogleLogging(program);
    reportFailures();
    // A write that fails must not end the process: its reader is gone, or its file is as large as it may be.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    if (destination == log_destination::standard_error) {
        return;
    }
    // glog's own output to terminals and files blocks, so only its formatting is used.
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, "");
    }
    currentWriter() = std::make_unique<log_writer>(STDOUT_FILENO);
    google::AddLogSink(currentWriter().get());
    lastLineWriter = currentWriter().get();
}

void stopLogging()
{
    if (currentWriter()) {
        google::RemoveLogSink(currentWriter().get());
        lastLineWriter = nullptr;
        currentWriter().reset();
    }
}

void writeLastLine(std::string_view line)
{
    if (auto *writer = lastLineWriter.load()) {
        writer->writeLast(line);
    } else if (write(STDERR_FILENO, line.data(), line.size()) < 0) {
        // Nowhere is left to say so.
    }
}

bool log_rate_limiter::take(std::uint64_t nowMicroseconds)
{
    constexpr double microsecondsPerSecond = 1e6;
    const double passed = static_cast<double>(nowMicroseconds - std::min(m_refilledAtMicroseconds, nowMicroseconds)) / microsecondsPerSecond;
    m_refilledAtMicroseconds = nowMicroseconds;
    m_tokens = std::min(burst, m_tokens + passed * linesPerSecond);
    if (m_tokens < 1) {
        m_dropped += 1;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t log_rate_limiter::takeDroppedCount()
{
    return std::exchange(m_dropped, 0);
}

// A value may come from another process, so it can't fill the log or end its line.
std::string field(std::string_view key, std::string_view value)
{
    constexpr std::size_t maxValueLength = 256;
    const auto shown = value.substr(0, maxValueLength);
    std::string text = " ";
    text += key;
    text += '=';
    const bool quoted = value.empty() || std::any_of(shown.begin(), shown.end(), [](char c) { return isControl(c) || c == ' ' || c == '"'; });
    if (!quoted) {
        text += shown;
        return shown.size() < value.size() ? text + "..." : text;
    }
    text += '"';
    for (const char c : shown) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += isControl(c) ? ' ' : c;
    }
    text += shown.size() < value.size() ? "...\"" : "\"";
    return text;
}

std::string field(std::string_view key, std::uint64_t value)
{
    return field(key, std::to_string(value));
}

} // namespace daisystile
