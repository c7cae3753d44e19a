#include "log_writer.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace daisystile {

namespace {

constexpr std::size_t mostWaitingBytes = 512U << 10U;
// Lines leave together, so that a busy daemon isn't woken for each.
constexpr std::chrono::milliseconds gatherTime {100};
constexpr std::uint64_t reportInterval = 1000000;

std::uint64_t steadyMicroseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::string timeText()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    const std::time_t whole = microseconds / 1000000;
    std::tm parts {};
    gmtime_r(&whole, &parts);
    std::array<char, 40> text {};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ", static_cast<int>(microseconds % 1000000));
    return std::string(text.data(), length) + fraction.data();
}

std::string lineOf(google::LogSeverity severity, std::string_view message)
{
    auto line = timeText();
    line.append(" ").append(google::GetLogSeverityName(severity)).append(" ").append(message);
    std::replace(line.begin(), line.end(), '\n', ' ');
    return line += '\n';
}

std::string partOf(std::string_view message)
{
    return std::string(message.substr(0, message.find(':')));
}

} // namespace

log_writer::log_writer(int handle)
    : m_handle(handle),
      m_reported(steadyMicroseconds())
{
    // A reader that goes away must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    fcntl(m_handle, F_SETFL, fcntl(m_handle, F_GETFL) | O_NONBLOCK);
    m_thread = std::thread([this] { run(); });
}

log_writer::~log_writer()
{
    {
        const std::lock_guard guard(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void log_writer::send(google::LogSeverity severity, const char *, const char *, int, const google::LogMessageTime &, const char *message, std::size_t length)
{
    const std::string_view text(message, length);
    const auto now = steadyMicroseconds();
    const std::lock_guard guard(m_mutex);
    const bool failure = severity > google::GLOG_INFO;
    if (!m_budgets[{partOf(text), failure}].take(now)) {
        m_dropped += 1;
        return;
    }
    auto line = lineOf(severity, text);
    if (m_bytes + line.size() > mostWaitingBytes) {
        m_dropped += 1;
        return;
    }
    m_bytes += line.size();
    m_lines.push_back(std::move(line));
    if (m_lines.size() == 1) {
        m_wake.notify_one();
    }
}

std::uint64_t log_writer::dropped() const
{
    const std::lock_guard guard(m_mutex);
    return m_dropped;
}

// One line a second and part tells how many were left out.
void log_writer::reportRefused(std::uint64_t now)
{
    if (now - m_reported < reportInterval) {
        return;
    }
    m_reported = now;
    for (auto &[key, budget] : m_budgets) {
        if (const auto refused = budget.takeRefused(); refused > 0) {
            auto line = lineOf(google::GLOG_WARNING, key.first + ": Lines left out." + field("count", refused) + field("failures", key.second ? 1 : 0));
            m_bytes += line.size();
            m_lines.push_back(std::move(line));
        }
    }
}

void log_writer::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
        const bool last = m_stopping;
        if (!last) {
            lock.unlock();
            std::this_thread::sleep_for(gatherTime);
            lock.lock();
        }
        reportRefused(steadyMicroseconds());
        while (writeSome()) { }
        if (last) {
            return;
        }
    }
}

// A line that nobody reads now stays first; later ones wait or are dropped.
bool log_writer::writeSome()
{
    if (m_written == m_current.size()) {
        m_current.clear();
        m_written = 0;
        while (!m_lines.empty()) {
            m_current += m_lines.front();
            m_lines.pop_front();
        }
        m_bytes = m_current.size();
    }
    if (m_written == m_current.size()) {
        m_bytes = 0;
        return false;
    }
    const auto count = write(m_handle, m_current.data() + m_written, m_current.size() - m_written);
    if (count <= 0) {
        return false;
    }
    m_written += static_cast<std::size_t>(count);
    return true;
}

} // namespace daisystile
