#pragma once

#include "log.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace daisystile {

/// Takes log lines from any thread and writes them on its own, bounded in rate and in memory.
class log_writer : public google::LogSink
{
public:
    /// Writes to an open handle, which it makes non-blocking.
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

    /// Lines dropped since the start, by the bounds or because nobody reads.
    std::uint64_t dropped() const;

private:
    void run();
    bool writeSome();
    void reportRefused(std::uint64_t now);

    int m_handle;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    std::string m_current;
    std::size_t m_written = 0;
    std::map<std::pair<std::string, bool>, line_budget> m_budgets;
    std::uint64_t m_reported = 0;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace daisystile
