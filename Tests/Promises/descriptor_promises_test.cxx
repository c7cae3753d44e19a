#include "plain_fleet.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fstream>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace daisystile;

namespace {

constexpr rlim_t descriptorLimit = 300;

/// Connections that send nothing.
class idle_connections
{
public:
    idle_connections(const ip_address &address, int count)
    {
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
        for (int i = 0; i < count; ++i) {
            m_handles.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            static_cast<void>(connect(m_handles.back(), reinterpret_cast<const sockaddr *>(&target), sizeof target));
        }
    }

    ~idle_connections()
    {
        for (const int handle : m_handles) {
            close(handle);
        }
    }

    idle_connections(const idle_connections &) = delete;
    idle_connections &operator=(const idle_connections &) = delete;

private:
    std::vector<int> m_handles;
};

double processorSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text(std::istreambuf_iterator<char>(file), {});
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::vector<std::string> words {std::istream_iterator<std::string>(fields), {}};
    return (std::stod(words.at(11)) + std::stod(words.at(12))) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

class descriptor_shortage : public testing::Test
{
protected:
    /// The first daemon gets few descriptors.
    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
        m_fleet.killDaemon(0);
        rlimit before {};
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
        const rlimit few {descriptorLimit, before.rlim_max};
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
        const bool started = m_fleet.startDaemon(0);
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
        ASSERT_TRUE(started);
        ASSERT_TRUE(m_fleet.waitUntilReady());
    }

    int callOnNewConnection()
    {
        http_call call {.address = m_fleet.clientsAddress(0), .path = "/read/x", .timeout = seconds {2}, .newConnection = true};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q" + std::to_string(++m_sent)}, {"Deadline-Ms", "1400"}};
        return statusOf(m_fleet.control().call(std::move(call)));
    }

    int readinessOnNewConnection()
    {
        return statusOf(m_fleet.control().call({.address = m_fleet.readinessAddress(0), .path = "/v1/readyz", .timeout = seconds {1}, .newConnection = true}));
    }

    std::size_t logLines(const std::string &part)
    {
        m_fleet.drainOutput();
        return countOf(m_fleet.logs(), part);
    }

    plain_fleet m_fleet {{.daemons = 3, .logbookServers = 3}};
    int m_sent = 0;
};

/// Whether the descriptor of the process leads to /dev/null.
bool leadsNowhere(int pid, int handle)
{
    std::error_code error;
    return std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/fd/" + std::to_string(handle), error) == "/dev/null";
}

bool hasSocket(int pid, const std::string &program)
{
    std::error_code error;
    if (std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", error) != program) {
        return false;
    }
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", error);
    return std::any_of(begin(entries), end(entries), [](const auto &entry) {
        std::error_code gone;
        return std::filesystem::read_symlink(entry.path(), gone).string().starts_with("socket:");
    });
}

} // namespace

// Idle connections took all descriptors; accepting in vain took a whole core, and neither readiness nor callers got an answer.
TEST_F(descriptor_shortage, idleConnectionsBeyondTheLimitKeepNobodyOut)
{
    constexpr milliseconds span {2000};
    constexpr double idleShare = 0.25;
    const idle_connections idle(m_fleet.clientsAddress(0), 2 * static_cast<int>(descriptorLimit));
    const auto since = monotonicNow();
    const auto before = processorSeconds(m_fleet.daemonProcess(0));
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(m_fleet.daemonReady(0)) << i;
        EXPECT_EQ(callOnNewConnection(), 200) << i;
    }
    m_fleet.control().waitUntil([&] { return monotonicNow() - since >= span; });
    const double passed = std::chrono::duration<double>(monotonicNow() - since).count();
    EXPECT_LT((processorSeconds(m_fleet.daemonProcess(0)) - before) / passed, idleShare);
    EXPECT_EQ(logLines("listener: "), 0U) << "the shortage doesn't come up";
    EXPECT_EQ(logLines("Client connections have reached their limit."), 1U);
}

// Readiness had no limit of its own, and its server accepted in vain without pause; then its limit kept new connections out.
TEST_F(descriptor_shortage, idleConnectionsToReadinessKeepNoCallerOut)
{
    constexpr milliseconds span {1000};
    constexpr double idleShare = 0.25;
    const idle_connections idle(m_fleet.readinessAddress(0), 2 * static_cast<int>(descriptorLimit));
    const auto since = monotonicNow();
    const auto before = processorSeconds(m_fleet.daemonProcess(0));
    EXPECT_EQ(callOnNewConnection(), 200);
    EXPECT_EQ(readinessOnNewConnection(), 200);
    m_fleet.control().waitUntil([&] { return monotonicNow() - since >= span; });
    EXPECT_EQ(callOnNewConnection(), 200);
    EXPECT_EQ(readinessOnNewConnection(), 200);
    const double passed = std::chrono::duration<double>(monotonicNow() - since).count();
    EXPECT_LT((processorSeconds(m_fleet.daemonProcess(0)) - before) / passed, idleShare);
}

// Sockets got the numbers of standard descriptors that were closed, and log lines went to a peer.
TEST_F(descriptor_shortage, closedStandardDescriptorsAreNotUsedForSockets)
{
    const auto program = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "daisystiled").string();
    const auto &settings = m_fleet.settingsFile(0);
    const pid_t pid = fork();
    if (pid == 0) {
        close_range(0, ~0U, 0);
        execl(program.c_str(), program.c_str(), "--front-door", "plain", "--config", settings.c_str(), nullptr);
        _exit(127);
    }
    ASSERT_GT(pid, 0);
    EXPECT_TRUE(m_fleet.control().waitUntil([&] { return hasSocket(pid, program); }));
    for (int handle = 0; handle <= STDERR_FILENO; ++handle) {
        EXPECT_TRUE(leadsNowhere(pid, handle)) << handle;
    }
    kill(pid, SIGKILL);
    EXPECT_EQ(waitpid(pid, nullptr, 0), pid);
}
