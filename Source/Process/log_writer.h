#pragma once

#include "log.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace daisystile {

/// Queues log lines from any thread and writes them on its own thread, with limits on rate and memory.
class log_writer : public google::LogSink
{
public:
    /// Writes to an open file descriptor, which becomes non-blocking.
    explicit log_writer(int handle);
    ~log_writer() override;

    // NOLINTNEXTLINE(readability-identifier-naming)
    void send(google::LogSeverity severity,
        const char *fullName,
        const char *baseName,
        int line,
        const google::LogMessageTime &time,
        const char *message,
        std::size_t length) override;

    /// Writes all queued lines and this one from a thread that ends the process. Takes no memory; no line is written after it.
    void writeLast(std::string_view line);

    /// Number of lines dropped since the start, because of the rate limit or a full queue.
    std::uint64_t dropped() const;

private:
    void run();
    bool writeSome();
    bool lockForLast();
    bool writeWhole(std::string_view text) const;
    void reportDropped(std::uint64_t now);

    int m_handle;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_lines;
    std::size_t m_queuedBytes = 0;
    std::string m_batch;
    std::size_t m_batchWritten = 0;
    std::map<std::pair<std::string, bool>, log_rate_limiter> m_rateLimiters;
    std::uint64_t m_reportedAtMicroseconds = 0;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace daisystile
