#pragma once

#include <Process/process.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisystile {

/// A child process of the test that reports its listening addresses in one line on standard output.
class child_process
{
public:
    /// Starts the program from the directory of the test executable; appends standard error to errorFile.
    child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &errorFile);
    /// Sends SIGKILL if the process is still running.
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Waits for the line "ready NAME=IP:PORT ...", which log lines may precede; returns false if the process exits or the wait times out.
    bool waitReady();
    /// Returns the listening address with this name in the ready line.
    ip_address address(const std::string &name) const;

    /// Reads the standard output available since the ready line or the previous call, without blocking.
    std::string readOutput();

    void signal(int number) const;
    /// Suspends the process with SIGSTOP: its timers and sockets are not served until resume().
    void pause() const;
    void resume() const;
    /// Returns the exit status (128 + signal number if killed), or nothing if the process still runs after the timeout.
    std::optional<int> waitExit(milliseconds timeout);
    bool running();
    int pid() const;

private:
    int m_pid = -1;
    int m_output = -1;
    std::string m_text;
    std::map<std::string, ip_address> m_addresses;
    std::optional<int> m_status;
};

} // namespace daisystile
