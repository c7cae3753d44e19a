#include "process_figures.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace daisystile {

namespace {

constexpr milliseconds watchInterval {20};
constexpr std::uint64_t bytesPerKilobyte = 1024;
constexpr int hexadecimal = 16;

std::uint64_t statusBytes(int pid, const std::string &name)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (file >> word && word != name) { }
    std::uint64_t kilobytes = 0;
    file >> kilobytes;
    return kilobytes * bytesPerKilobyte;
}

// The port stands after the last colon, in hexadecimal.
std::uint16_t portOf(const std::string &address)
{
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1), nullptr, hexadecimal));
}

} // namespace

std::uint64_t residentBytes(int pid)
{
    return statusBytes(pid, "VmRSS:");
}

std::uint64_t peakResidentBytes(int pid)
{
    return statusBytes(pid, "VmHWM:");
}

std::size_t openDescriptors(int pid)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::uint64_t unreadBytes(const std::vector<std::uint16_t> &ports)
{
    constexpr const char *listening = "0A";
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    std::uint64_t bytes = 0;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        if (state != listening && std::find(ports.begin(), ports.end(), portOf(local)) != ports.end()) {
            bytes += std::stoull(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        }
    }
    return bytes;
}

memory_watch::memory_watch(int pid, std::vector<std::uint16_t> ports)
    : m_pid(pid),
      m_ports(std::move(ports)),
      m_thread([this] { run(); })
{
}

memory_watch::~memory_watch()
{
    m_stopping = true;
    m_thread.join();
}

std::uint64_t memory_watch::peakBytes() const
{
    return m_peakBytes;
}

std::uint64_t memory_watch::peakUnreadBytes() const
{
    return m_peakUnreadBytes;
}

void memory_watch::run()
{
    while (!m_stopping) {
        const auto unread = unreadBytes(m_ports);
        m_peakUnreadBytes = std::max(m_peakUnreadBytes.load(), unread);
        m_peakBytes = std::max(m_peakBytes.load(), residentBytes(m_pid) + unread);
        std::this_thread::sleep_for(watchInterval);
    }
}

} // namespace daisystile
