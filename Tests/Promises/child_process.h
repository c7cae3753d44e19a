#pragma once

#include <Process/process.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisystile {

/// A program that the test started and that says where it listens, in one line on standard output.
class child_process
{
public:
    /// Starts the program from the folder of the running test; standard error goes to the file.
    child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &errorFile);
    /// Kills it if it still runs.
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Waits for the line "ready NAME=IP:PORT ..."; false when the program ended or took too long.
    bool waitReady();
    /// Where it listens, by the name in the ready line.
    ip_address address(const std::string &name) const;

    /// What it wrote to standard output since the ready line, as far as it has come.
    std::string readOutput();

    void signal(int number) const;
    /// Stopped by SIGSTOP, so that its timers and sockets stand still.
    void pause() const;
    void resume() const;
    /// The exit status (128 + signal when killed), or nothing when it still runs after the wait.
    std::optional<int> waitExit(milliseconds wait);
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
