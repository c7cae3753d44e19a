#include "log_writer.h"

#include "log_line.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace daisystile {

namespace {

constexpr std::size_t maxQueuedBytes = 512U << 10U;
// Lines are written in batches, so that the thread isn't woken for each line of a busy daemon.
constexpr std::chrono::milliseconds batchInterval {100};
constexpr std::uint64_t reportIntervalMicroseconds = 1000000;
// A process that fails waits no longer than this for the reader, and for a thread that writes; the lock may be held by the thread that fails.
constexpr int maxReaderWaitMilliseconds = 100;
constexpr int maxLockTries = 50;
constexpr timespec lockTryInterval {0, 1000000};

std::uint64_t steadyMicroseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::string formatLine(google::LogSeverity severity, std::string_view message)
{
    std::string line(log_time(std::chrono::system_clock::now()).text());
    line.append(" ").append(google::GetLogSeverityName(severity)).append(" ").append(message);
    std::replace(line.begin(), line.end(), '\n', ' ');
    return line += '\n';
}

std::string componentOf(std::string_view message)
{
    return std::string(message.substr(0, message.find(':')));
}

} // namespace

log_writer::log_writer(int handle)
    : m_handle(handle),
      m_reportedAtMicroseconds(steadyMicroseconds())
{
    // Writing to a closed pipe must not terminate the process.
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
    if (!m_rateLimiters[{componentOf(text), failure}].take(now)) {
        m_dropped += 1;
        return;
    }
    auto line = formatLine(severity, text);
    if (m_queuedBytes + line.size() > maxQueuedBytes) {
        m_dropped += 1;
        return;
    }
    m_queuedBytes += line.size();
    m_lines.push_back(std::move(line));
    if (m_lines.size() == 1) {
        m_wake.notify_one();
    }
}

bool log_writer::lockForLast()
{
    for (int i = 0; i < maxLockTries; ++i) {
        if (m_mutex.try_lock()) {
            return true;
        }
        nanosleep(&lockTryInterval, nullptr);
    }
    return false;
}

bool log_writer::writeWhole(std::string_view text) const
{
    while (!text.empty()) {
        const auto count = write(m_handle, text.data(), text.size());
        if (count > 0) {
            text.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        pollfd reader {m_handle, POLLOUT, 0};
        if (count == 0 || errno != EAGAIN || poll(&reader, 1, maxReaderWaitMilliseconds) <= 0) {
            return false;
        }
    }
    return true;
}

// The lock is kept: lines of other threads would come after the last one.
void log_writer::writeLast(std::string_view line)
{
    if (lockForLast()) {
        bool written = writeWhole(std::string_view(m_batch).substr(m_batchWritten));
        for (auto each = m_lines.begin(); written && each != m_lines.end(); ++each) {
            written = writeWhole(*each);
        }
    }
    writeWhole(line);
}

std::uint64_t log_writer::dropped() const
{
    const std::lock_guard guard(m_mutex);
    return m_dropped;
}

// Reports the number of dropped lines, at most one line per second for each component and severity class.
void log_writer::reportDropped(std::uint64_t now)
{
    if (now - m_reportedAtMicroseconds < reportIntervalMicroseconds) {
        return;
    }
    m_reportedAtMicroseconds = now;
    for (auto &[key, limiter] : m_rateLimiters) {
        if (const auto droppedLines = limiter.takeDroppedCount(); droppedLines > 0) {
            auto line = formatLine(google::GLOG_WARNING,
                key.first + ": Log lines dropped by the rate limit." + field("count", droppedLines) + field("failures", key.second ? 1 : 0));
            m_queuedBytes += line.size();
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
            std::this_thread::sleep_for(batchInterval);
            lock.lock();
        }
        reportDropped(steadyMicroseconds());
        while (writeSome()) { }
        if (last) {
            return;
        }
    }
}

// A partly written batch stays first; later lines are queued or dropped.
bool log_writer::writeSome()
{
    if (m_batchWritten == m_batch.size()) {
        m_batch.clear();
        m_batchWritten = 0;
        while (!m_lines.empty()) {
            m_batch += m_lines.front();
            m_lines.pop_front();
        }
        m_queuedBytes = m_batch.size();
    }
    if (m_batchWritten == m_batch.size()) {
        m_queuedBytes = 0;
        return false;
    }
    const auto count = write(m_handle, m_batch.data() + m_batchWritten, m_batch.size() - m_batchWritten);
    if (count <= 0) {
        return false;
    }
    m_batchWritten += static_cast<std::size_t>(count);
    return true;
}

} // namespace daisystile
