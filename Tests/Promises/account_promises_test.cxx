#include "plain_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr milliseconds revocation {2500};
constexpr const char *key = "secret-key-1";
constexpr const char *otherKey = "secret-key-2";

json accountsWith(const std::vector<std::string> &keys)
{
    return json::array({{{"name", "bank"}, {"api_keys", keys}}});
}

/// Daemons that serve client accounts.
class account_promises : public testing::Test
{
protected:
    void start(plain_fleet::layout size)
    {
        m_fleet = std::make_unique<plain_fleet>(size);
        ASSERT_TRUE(m_fleet->start());
    }

    http_call callTo(std::size_t daemon, const std::string &path, const std::string &authorization)
    {
        const auto id = "q" + std::to_string(++m_sent);
        http_call call {.address = m_fleet->clientsAddress(daemon), .path = path, .timeout = seconds {4}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", id}, {"Deadline-Ms", "1400"}, {"tenant-ID", "forged"}};
        if (!authorization.empty()) {
            call.headers.push_back({"authorization", authorization});
        }
        return call;
    }

    int ask(std::size_t daemon, const std::string &authorization, const std::string &path = "/read/x")
    {
        m_fleet->drainOutput();
        return statusOf(m_fleet->control().call(callTo(daemon, path, authorization)));
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        return m_fleet->control().waitUntil(condition);
    }

    /// Requests that servers ran whose number is greater than this.
    int runsAfter(int number)
    {
        int count = 0;
        for (const auto &server : m_fleet->servers()) {
            for (const auto &[id, runs] : server.process->runs()) {
                count += id.front() == 'q' && std::stoi(id.substr(1)) > number ? runs : 0;
            }
        }
        return count;
    }

    /// Servers got the account's name and nothing that the client stated.
    void expectOnlyTheAccountsName()
    {
        for (const auto &server : m_fleet->servers()) {
            const auto message = server.process->latest();
            const auto *account = message.header("Tenant-Id");
            ASSERT_NE(account, nullptr) << server.service;
            EXPECT_EQ(*account, "bank");
            EXPECT_EQ(message.header("Authorization"), nullptr);
            for (const auto &header : message.headers) {
                EXPECT_EQ(header.value.find("secret"), std::string::npos) << header.name;
                EXPECT_EQ(header.value.find("forged"), std::string::npos) << header.name;
            }
        }
    }

    std::unique_ptr<plain_fleet> m_fleet;
    int m_sent = 0;
};

} // namespace

// One daemon is cut from the store, one is stopped, and one starts anew while the store is away.
TEST_F(account_promises, aKeyThatIsTakenAwayStopsWorkingAtDaemonsThatHearOfNothing)
{
    const auto bearer = std::string("Bearer ") + key;
    const auto otherBearer = std::string("Bearer ") + otherKey;
    start({.daemons = 3, .logbookServers = 3, .accounts = accountsWith({key, otherKey}), .revocation = revocation});
    for (std::size_t i = 0; i < m_fleet->daemonCount(); ++i) {
        EXPECT_EQ(ask(i, bearer), 200);
        EXPECT_EQ(ask(i, "Bearer nobodys"), 401);
        EXPECT_EQ(ask(i, ""), 401);
        EXPECT_EQ(ask(i, "Basic " + std::string(key)), 401);
    }
    m_fleet->cutDomainsFromStore({"medina"});
    kill(m_fleet->daemonProcess(1), SIGSTOP);
    m_fleet->setAccounts(accountsWith({otherKey}));
    const auto due = std::chrono::steady_clock::now() + revocation;
    EXPECT_TRUE(waitFor([&] { return std::chrono::steady_clock::now() >= due; }));
    const int sentBefore = m_sent;
    constexpr int callCount = 30;
    std::vector<http_call> calls;
    calls.reserve(callCount);
    for (int i = 0; i < callCount; ++i) {
        calls.push_back(callTo(static_cast<std::size_t>(i % 3), "/read/x", bearer));
    }
    int served = 0;
    for (auto &call : calls) {
        m_fleet->control().start(std::move(call), [&served](const http_result &result) { served += statusOf(result) == 200 ? 1 : 0; });
    }
    kill(m_fleet->daemonProcess(1), SIGCONT);
    EXPECT_EQ(ask(0, bearer), 503);
    EXPECT_EQ(ask(0, otherBearer), 503);
    EXPECT_FALSE(m_fleet->daemonReady(0));
    EXPECT_TRUE(waitFor([&] { return ask(1, bearer) == 401 && ask(2, bearer) == 401; }));
    // After the time within which a configuration is in force everywhere, the key may be one that this daemon has not heard of.
    EXPECT_TRUE(waitFor([&] { return ask(0, "Bearer nobodys") == 503; }));
    EXPECT_EQ(served, 0);
    EXPECT_EQ(runsAfter(sentBefore), 0);
    m_fleet->cutDomainsFromStore({});
    EXPECT_TRUE(waitFor([&] { return ask(0, bearer) == 401 && ask(0, otherBearer) == 200; }));

    m_fleet->setStoreDown(true);
    m_fleet->killDaemon(2);
    ASSERT_TRUE(m_fleet->startDaemon(2));
    EXPECT_EQ(ask(2, otherBearer), 503);
    EXPECT_TRUE(waitFor([&] { return ask(0, otherBearer) == 503; }));
    m_fleet->setStoreDown(false);
    EXPECT_TRUE(waitFor([&] { return ask(2, otherBearer) == 200 && ask(0, otherBearer) == 200; }));
}

TEST_F(account_promises, serversGetTheAccountsNameAndNothingThatTheClientStatesOfIt)
{
    // A server for each shard, all in the first daemon's failure domain, so that the second one delegates.
    start({.daemons = 2, .logbookServers = 1, .shards = 4, .serversPerShard = 1, .accounts = accountsWith({key})});
    const auto bearer = std::string("Bearer ") + key;
    ASSERT_TRUE(waitFor([&] {
        ask(1, bearer, "/find/x");
        const auto metrics = m_fleet->control().call({.address = m_fleet->readinessAddress(1), .path = "/metrics"});
        return statusOf(metrics) == 200 && std::get<http_reply>(metrics).body.find("daisystile_delegations_total{outcome=\"answered\"} 0") == std::string::npos;
    })) << "nothing is delegated";
    const auto idle = [](const auto &server) {
        return server.process->arrivals() == 0;
    };
    EXPECT_TRUE(waitFor([&] {
        for (std::size_t i = 0; i < m_fleet->daemonCount(); ++i) {
            ask(i, bearer, "/read/x");
            ask(i, bearer, "/find/x");
        }
        return std::none_of(m_fleet->servers().begin(), m_fleet->servers().end(), idle);
    }));
    expectOnlyTheAccountsName();
    m_fleet->drainOutput();
    EXPECT_EQ(m_fleet->logs().find(key), std::string::npos);
}

// Three keepers, one of them killed on the way, and three times what the quota allows.
TEST_F(account_promises, anAccountRunsItsQuotaOverAllDaemonsAndNotMore)
{
    constexpr double rate = 20;
    constexpr double burst = 5;
    constexpr seconds window {5};
    constexpr double bound = (rate * 5 + burst) * 1.1 + 20;
    auto accounts = accountsWith({key});
    accounts[0]["rate_per_s"] = rate;
    accounts[0]["burst"] = burst;
    start({.daemons = 6, .logbookServers = 6, .accounts = accounts});
    const auto bearer = std::string("Bearer ") + key;
    ASSERT_TRUE(waitFor([&] { return ask(0, bearer) == 200 && ask(1, bearer) == 200 && ask(2, bearer) == 200; }));
    std::map<int, int> statuses;
    const auto begin = std::chrono::steady_clock::now();
    constexpr milliseconds interval {16};
    constexpr seconds length {12};
    bool killed = false;
    for (auto next = begin; next < begin + length; next += interval) {
        const auto daemon = static_cast<std::size_t>(m_sent) % m_fleet->daemonCount();
        m_fleet->control().start(callTo(daemon, "/read/x", bearer), [&statuses](const http_result &result) { statuses[statusOf(result)] += 1; });
        m_fleet->control().waitUntil([&] { return std::chrono::steady_clock::now() >= next; }, seconds {1});
        m_fleet->drainOutput();
        if (!std::exchange(killed, killed || next > begin + length / 2) && killed) {
            m_fleet->killDaemon(0);
            ASSERT_TRUE(m_fleet->startDaemon(0));
        }
    }
    m_fleet->control().waitUntil([] { return false; }, seconds {1});
    std::vector<monotonic_time> runs;
    for (const auto &server : m_fleet->servers()) {
        const auto some = server.process->runTimes();
        runs.insert(runs.end(), some.begin(), some.end());
    }
    std::sort(runs.begin(), runs.end());
    std::ptrdiff_t most = 0;
    for (auto from = runs.begin(); from != runs.end(); ++from) {
        most = std::max(most, std::lower_bound(from, runs.end(), *from + window) - from);
    }
    std::cout << "largest window " << most << " of " << bound << ", served " << statuses[200] << ", over the quota " << statuses[429] << ", unknown "
              << statuses[503] << std::endl;
    EXPECT_LE(static_cast<double>(most), bound);
    EXPECT_GT(statuses[200], rate * 12 / 2);
    EXPECT_GT(statuses[429], 0);
}
