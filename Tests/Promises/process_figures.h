#pragma once

#include <Process/process.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>
#include <vector>

namespace daisystile {

/// Resident memory of a process in bytes; 0 once it has ended.
std::uint64_t residentBytes(int pid);
/// The most that its resident memory has been, in bytes; 0 once it has ended.
std::uint64_t peakResidentBytes(int pid);
/// Descriptors that a process has open.
std::size_t openDescriptors(int pid);
/// Bytes that were received on TCP connections to these ports and not read yet, from the kernel's table of sockets.
std::uint64_t unreadBytes(const std::vector<std::uint16_t> &ports);

/// Notes, again and again, what a process holds: its resident memory together with what it hasn't read from its sockets.
class memory_watch
{
public:
    /// The ports are those on which the process listens.
    memory_watch(int pid, std::vector<std::uint16_t> ports);
    ~memory_watch();
    memory_watch(const memory_watch &) = delete;
    memory_watch &operator=(const memory_watch &) = delete;

    /// The most that was held at one time.
    std::uint64_t peakBytes() const;
    /// The most that was unread at one time.
    std::uint64_t peakUnreadBytes() const;

private:
    void run();

    int m_pid;
    std::vector<std::uint16_t> m_ports;
    std::atomic<std::uint64_t> m_peakBytes {0};
    std::atomic<std::uint64_t> m_peakUnreadBytes {0};
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};

} // namespace daisystile
