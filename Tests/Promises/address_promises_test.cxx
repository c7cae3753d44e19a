#include "plain_fleet.h"

#include <open_listener.h>

#include <csignal>
#include <fstream>
#include <sstream>

using namespace daisystile;

namespace {

constexpr const char *waitsForAddress = "Address can't be opened yet";

/// A connection that holds a port of this host, as one to another program does.
class port_holder
{
public:
    explicit port_holder(const ip_address &taken)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(taken.port);
        EXPECT_EQ(bind(m_handle, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
        EXPECT_EQ(connect(m_handle, reinterpret_cast<const sockaddr *>(&m_target.address), sizeof m_target.address), 0);
    }

    ~port_holder()
    {
        release();
    }

    // Resets the connection, because the side that closes in order holds the port for another minute.
    void release()
    {
        if (m_handle >= 0) {
            const linger reset {.l_onoff = 1, .l_linger = 0};
            setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(std::exchange(m_handle, -1));
        }
    }

    port_holder(const port_holder &) = delete;
    port_holder &operator=(const port_holder &) = delete;

private:
    open_listener m_target {1};
    int m_handle = socket(AF_INET, SOCK_STREAM, 0);
};

/// A daemon whose four addresses are known before it starts, beside a fleet of three.
class address_promises : public testing::Test
{
protected:
    address_promises()
    {
        for (const auto *each : {"clients", "readiness", "peers", "queries"}) {
            m_addresses[each] = open_listener(0).listenAddress();
        }
    }

    ~address_promises() override
    {
        std::filesystem::remove_all(m_file);
        std::filesystem::remove_all(m_file + ".err");
    }

    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
    }

    std::unique_ptr<child_process> startDaemon()
    {
        std::ofstream settings(m_file);
        settings << "id = \"other\"\nfailure_domain = \"medina\"\nregion = \"sfax\"\nstrength = 1.0\ngrace_ms = 6000\nstore = \""
                 << toString(m_fleet.storeAddress()) << "\"\n";
        for (const auto &[name, address] : m_addresses) {
            settings << name << " = \"" << toString(address) << "\"\n";
        }
        settings.close();
        return std::make_unique<child_process>("daisystiled", std::vector<std::string> {"--front-door", "plain", "--config", m_file}, m_file + ".err");
    }

    bool until(const std::function<bool()> &condition)
    {
        return m_fleet.control().waitUntil(condition, seconds {15});
    }

    bool logs(child_process &daemon, const std::string &text)
    {
        m_log += daemon.readOutput();
        return m_log.find(text) != std::string::npos;
    }

    // True unless the process ends first.
    bool waitsFor(child_process &daemon, const std::string &name)
    {
        const auto line = "for=" + name;
        until([&] { return logs(daemon, line) || !daemon.running(); });
        EXPECT_TRUE(daemon.running()) << "ended with " << daemon.waitExit(milliseconds {0}).value_or(-1) << '\n' << m_log;
        EXPECT_TRUE(logs(daemon, line)) << m_log;
        return daemon.running();
    }

    http_result readiness()
    {
        return m_fleet.control().call({.address = m_addresses["readiness"], .path = "/v1/readyz", .timeout = seconds {1}});
    }

    bool ready()
    {
        return statusOf(readiness()) == 200;
    }

    bool accepts(const std::string &name)
    {
        const auto address = m_addresses[name];
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        target.sin_port = htons(address.port);
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        const bool accepted = connect(handle, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
        close(handle);
        return accepted;
    }

    bool entryNames(const std::string &name)
    {
        return m_fleet.textOf(entryKey).find("\"" + toString(m_addresses[name]) + "\"") != std::string::npos;
    }

    int waitLines() const
    {
        int count = 0;
        for (auto at = m_log.find(waitsForAddress); at != std::string::npos; at = m_log.find(waitsForAddress, at + 1)) {
            count += 1;
        }
        return count;
    }

    static constexpr const char *entryKey = "daisystile-daemons/other";

    plain_fleet m_fleet {{.daemons = 3, .logbookServers = 3}};
    std::map<std::string, ip_address> m_addresses;
    std::string m_file = (std::filesystem::temp_directory_path() / ("address-" + std::to_string(getpid()) + ".toml")).string();
    std::string m_log;
};

class taken_address : public address_promises, public testing::WithParamInterface<const char *>
{
};

/// A daemon of the callers' API, started beside a taken address.
class taken_callers_address : public testing::TestWithParam<const char *>
{
protected:
    ~taken_callers_address() override
    {
        std::filesystem::remove_all(m_file);
        std::filesystem::remove_all(m_log);
    }

    void start()
    {
        std::ofstream settings(m_file);
        settings
            << "id = \"other\"\nfailure_domain = \"sfax-medina\"\nregion = \"sfax\"\npeer_key = \"key of the daemons under test\"\noperator_token_digest = \""
            << sha256Hex("token") << "\"\nplatform = \"" << toString(open_listener(0).listenAddress()) << "\"\n";
        for (const std::string name : {"callers", "operators", "traffic", "control"}) {
            settings << name << " = \"" << (name == GetParam() ? toString(m_taken) : "127.0.0.1:0") << "\"\n";
        }
        settings.close();
        m_daemon = std::make_unique<child_process>("daisystiled", std::vector<std::string> {"--config", m_file}, m_log);
    }

    std::string log() const
    {
        std::ostringstream text;
        text << std::ifstream(m_log).rdbuf();
        return text.str();
    }

    bool waits()
    {
        test_client client;
        const auto line = std::string("for=") + GetParam();
        return client.waitUntil([&] { return log().find(line) != std::string::npos || !m_daemon->running(); }, seconds {15}) && m_daemon->running();
    }

    ip_address m_taken = open_listener(0).listenAddress();
    std::string m_file = (std::filesystem::temp_directory_path() / ("callers-" + std::to_string(getpid()) + ".toml")).string();
    std::string m_log = m_file + ".err";
    std::unique_ptr<child_process> m_daemon;
};

} // namespace

// A port that was taken by a connection of the same host ended the daemon at each start (clients, readiness), or was never tried
// again (peers, queries).
TEST_P(taken_address, isWaitedFor)
{
    const std::string name = GetParam();
    port_holder holder(m_addresses[name]);
    const auto daemon = startDaemon();
    ASSERT_TRUE(waitsFor(*daemon, name));
    if (name == "clients") {
        ASSERT_TRUE(until([&] { return statusOf(readiness()) == 503; }));
        EXPECT_NE(std::get<http_reply>(readiness()).body.find("clients " + toString(m_addresses[name])), std::string::npos);
    } else if (name != "readiness") {
        EXPECT_TRUE(until([&] { return ready(); }));
        EXPECT_TRUE(until([&] { return !m_fleet.textOf(entryKey).empty() && !entryNames(name); })) << "others are told of an address that isn't open";
    }
    holder.release();
    EXPECT_TRUE(until([&] { return ready() && accepts(name) && logs(*daemon, "Address is open"); })) << m_log;
    EXPECT_TRUE(until([&] { return entryNames("peers") && entryNames("queries"); }));
    EXPECT_EQ(waitLines(), 1) << m_log;
    daemon->signal(SIGTERM);
    EXPECT_EQ(daemon->waitExit(seconds {10}), 0);
}

INSTANTIATE_TEST_SUITE_P(plain, taken_address, testing::Values("clients", "readiness", "peers", "queries"), [](const auto &one) {
    return std::string(one.param);
});

TEST_F(address_promises, aDaemonThatWaitsEndsWhenItIsTold)
{
    const port_holder clients(m_addresses["clients"]);
    const port_holder readiness(m_addresses["readiness"]);
    const auto daemon = startDaemon();
    ASSERT_TRUE(waitsFor(*daemon, "clients"));
    daemon->signal(SIGTERM);
    EXPECT_EQ(daemon->waitExit(seconds {2}), 0);
}

// A daemon that was started again while the process before still drained ended with status 3, until that one had gone.
TEST_F(address_promises, aStartWhileTheProcessBeforeDrains)
{
    m_fleet.setDelay(milliseconds {1200});
    const auto before = startDaemon();
    ASSERT_TRUE(before->waitReady());
    ASSERT_TRUE(until([&] { return ready(); }));
    int status = 0;
    http_call call {.address = m_addresses["clients"], .path = "/read/x", .timeout = seconds {5}};
    call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q1"}, {"Deadline-Ms", "1450"}};
    m_fleet.control().start(std::move(call), [&](const http_result &result) { status = statusOf(result); });
    ASSERT_TRUE(until([&] {
        const auto &servers = m_fleet.servers();
        return std::any_of(servers.begin(), servers.end(), [](const auto &each) { return each.process->arrivals() > 0; });
    }));
    before->signal(SIGTERM);
    const auto next = startDaemon();
    ASSERT_TRUE(waitsFor(*next, "clients"));
    EXPECT_TRUE(until([&] { return status != 0 && !before->running(); }));
    EXPECT_EQ(status, 200);
    EXPECT_EQ(before->waitExit(seconds {1}), 0);
    EXPECT_TRUE(until([&] { return ready() && entryNames("peers"); }));
}

// The daemon that left removed the entry that its successor had written.
TEST_F(address_promises, aDaemonThatLeavesRemovesOnlyItsOwnEntry)
{
    const auto daemon = startDaemon();
    ASSERT_TRUE(daemon->waitReady());
    ASSERT_TRUE(until([&] { return ready() && entryNames("queries"); }));
    m_fleet.putText(entryKey, R"({"domain":"medina","strength":2.0,"beat":1})");
    daemon->signal(SIGTERM);
    EXPECT_EQ(daemon->waitExit(seconds {10}), 0);
    EXPECT_NE(m_fleet.textOf(entryKey), "");
}

// A port that was taken by a connection of the same host ended the daemon at each start.
TEST_P(taken_callers_address, isWaitedFor)
{
    port_holder holder(m_taken);
    start();
    ASSERT_TRUE(waits()) << log();
    holder.release();
    ASSERT_TRUE(m_daemon->waitReady()) << log();
    EXPECT_EQ(m_daemon->address(GetParam()).port, m_taken.port);
}

TEST_P(taken_callers_address, isWaitedForUntilTheDaemonIsToldToEnd)
{
    const port_holder holder(m_taken);
    start();
    ASSERT_TRUE(waits()) << log();
    m_daemon->signal(SIGTERM);
    EXPECT_EQ(m_daemon->waitExit(seconds {2}), 0);
}

INSTANTIATE_TEST_SUITE_P(callers_api, taken_callers_address, testing::Values("callers", "operators", "traffic", "control"), [](const auto &one) {
    return std::string(one.param);
});

TEST_F(address_promises, anAddressThatIsMalformedEndsTheStart)
{
    m_addresses["clients"].host = "no-address";
    EXPECT_EQ(startDaemon()->waitExit(seconds {10}), 2);
}
