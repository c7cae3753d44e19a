#include "child_process.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

namespace daisystile {

// Long, because sanitizer builds start slowly on a loaded machine.
static constexpr milliseconds readyTimeout {30000};
static constexpr std::size_t maxReadyLineBytes = 65536;
static constexpr std::string_view readyWord = "ready ";

// Nothing until the whole line has been read.
static std::optional<std::string> readyLine(std::string_view text)
{
    for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n')) {
        if (text.starts_with(readyWord)) {
            return std::string(text.substr(readyWord.size(), end - readyWord.size()));
        }
        text.remove_prefix(end + 1);
    }
    return std::nullopt;
}

static std::string programPath(const std::string &program)
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() / program;
}

static int spawn(const std::string &path, std::vector<std::string> words, int output, const std::string &errorFile)
{
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (auto &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    // An inherited listening socket would keep an address open whose owner has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);

    pid_t pid = -1;
    if (posix_spawn(&pid, path.c_str(), &actions, &attributes, arguments.data(), environ) != 0) {
        pid = -1;
    }
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &errorFile)
{
    int handles[2] = {-1, -1};
    if (pipe2(handles, O_CLOEXEC) != 0) {
        return;
    }
    m_output = handles[0];
    std::vector<std::string> words {program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    m_pid = spawn(programPath(program), std::move(words), handles[1], errorFile);
    close(handles[1]);
}

child_process::~child_process()
{
    if (running()) {
        signal(SIGKILL);
        waitExit(readyTimeout);
    }
    if (m_output >= 0) {
        close(m_output);
    }
}

bool child_process::waitReady()
{
    const auto deadline = std::chrono::steady_clock::now() + readyTimeout;
    std::optional<std::string> line;
    while (!(line = readyLine(m_text))) {
        pollfd entry {.fd = m_output, .events = POLLIN, .revents = 0};
        const auto remaining = timeLeft(std::chrono::steady_clock::now(), deadline);
        if (m_pid < 0 || remaining.count() == 0 || poll(&entry, 1, static_cast<int>(remaining.count())) <= 0) {
            return false;
        }
        char buffer[512];
        const auto size = read(m_output, buffer, sizeof buffer);
        if (size <= 0 || m_text.size() > maxReadyLineBytes) {
            return false;
        }
        m_text.append(buffer, static_cast<std::size_t>(size));
    }
    std::istringstream words(*line);
    std::string word;
    while (words >> word) {
        const auto equals = word.find('=');
        m_addresses[word.substr(0, equals)] = parseIpAddress(word.substr(equals + 1)).value();
    }
    return true;
}

ip_address child_process::address(const std::string &name) const
{
    return m_addresses.at(name);
}

std::string child_process::readOutput()
{
    std::string text;
    std::array<char, 4096> bytes;
    pollfd ready {m_output, POLLIN, 0};
    while (poll(&ready, 1, 0) > 0) {
        const auto count = read(m_output, bytes.data(), bytes.size());
        if (count <= 0) {
            break;
        }
        text.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return text;
}

void child_process::signal(int number) const
{
    if (m_pid > 0 && !m_status) {
        kill(m_pid, number);
    }
}

void child_process::pause() const
{
    signal(SIGSTOP);
}

void child_process::resume() const
{
    signal(SIGCONT);
}

static int exitStatus(int waitStatus)
{
    return WIFSIGNALED(waitStatus) ? 128 + WTERMSIG(waitStatus) : WEXITSTATUS(waitStatus);
}

bool child_process::running()
{
    return m_pid > 0 && !waitExit(milliseconds {0});
}

std::optional<int> child_process::waitExit(milliseconds timeout)
{
    if (m_status || m_pid <= 0) {
        return m_status;
    }
    const int handle = static_cast<int>(syscall(SYS_pidfd_open, m_pid, 0));
    pollfd entry {.fd = handle, .events = POLLIN, .revents = 0};
    poll(&entry, 1, static_cast<int>(timeout.count()));
    close(handle);
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_status = exitStatus(status);
    }
    return m_status;
}

int child_process::pid() const
{
    return m_pid;
}

} // namespace daisystile
