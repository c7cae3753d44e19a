#include "child_process.h"
#include "test_client.h"

#include <open_listener.h>
#include <StandIns/plain_backend.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <gtest/gtest.h>
#include <odd_status_lines.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr int shardCount = 4;
constexpr const char *host = "search.example";

/// Runs one daemon with the plain HTTP front end, the platform stand-in, and backend servers for four shards and one service.
class entry_promises : public testing::Test
{
protected:
    void SetUp() override
    {
        m_folder = std::filesystem::temp_directory_path()
            / ("entry-" + std::to_string(getpid()) + "-" + testing::UnitTest::GetInstance()->current_test_info()->name());
        std::filesystem::create_directories(m_folder);
        m_store = std::make_unique<child_process>("platform-standin", std::vector<std::string> {}, (m_folder / "store.err").string());
        ASSERT_TRUE(m_store->waitReady());
        for (int shard = 0; shard < shardCount; ++shard) {
            for (int replica = 0; replica < 2; ++replica) {
                addServer("shard-" + std::to_string(shard), std::string(16, static_cast<char>('a' + shard)));
            }
        }
        addServer("logbook", "written");
        addServer("logbook", "written");
        writeConfiguration(1);
    }

    void TearDown() override
    {
        m_daemon.reset();
        m_delegate.reset();
        m_store.reset();
        std::filesystem::remove_all(m_folder);
    }

    void addServer(const std::string &service, const std::string &records)
    {
        const auto id = service + "-" + std::to_string(m_servers.size());
        m_servers.push_back(std::make_unique<plain_backend>(id, records));
        m_serviceOfServer.push_back(service);
        registerServer(m_servers.size() - 1, "ready");
    }

    void registerServer(std::size_t index, const std::string &state)
    {
        putObject("servers/" + m_servers[index]->id(),
            {{"service", m_serviceOfServer[index]},
                {"address", toString(m_servers[index]->address())},
                {"zone", "port"},
                {"version", "v1"},
                {"capacity", 3},
                {"state", state},
                {"warmup_left_ms", 0},
                {"sequence", 1},
                {"born", 1}});
    }

    void putObject(const std::string &key, const json &value)
    {
        m_client.send("PUT", m_store->address("control"), "/control/objects/" + key, value);
    }

    json makeRoute(const std::string &prefix, const std::string &kind, const json &target) const
    {
        json entry {{"name", "r" + prefix},
            {"hostname", host},
            {"path_prefix", prefix},
            {"route_type", kind},
            {"timeout_ms", 2000},
            {"target_latency_ms", 200},
            {"priority", 1},
            {"max_attempts", 2},
            {"top_k", 3},
            {"min_part_share", 0.75}};
        entry.update(target);
        return entry;
    }

    void writeConfiguration(int version, const json &extraRoutes = json::array())
    {
        json shards = json::array();
        json services = json::array({{{"name", "logbook"}, {"max_connections", 20}}});
        for (int shard = 0; shard < shardCount; ++shard) {
            shards.push_back("shard-" + std::to_string(shard));
            services.push_back({{"name", shards.back()}, {"max_connections", 20}});
        }
        json routes = json::array({makeRoute("/find/", "idempotent", {{"fanout_services", shards}}),
            makeRoute("/read/", "idempotent", {{"service", "logbook"}}),
            makeRoute("/note/", "non_idempotent", {{"service", "logbook"}})});
        routes.insert(routes.end(), extraRoutes.begin(), extraRoutes.end());
        putObject("config/main",
            {{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits", {{"max_header_bytes", 4096}, {"max_body_bytes", 10000}, {"header_timeout_ms", 1000}, {"idle_timeout_ms", 15000}}}});
    }

    void startDaemon()
    {
        const auto file = (m_folder / "daemon.toml").string();
        std::ofstream(file) << "id = \"d1\"\nfailure_domain = \"port\"\nregion = \"sfax\"\nclients = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\npeers = "
                               "\"127.0.0.1:0\"\nstore = \""
                            << toString(m_store->address("http")) << "\"\ngrace_ms = 6000\n";
        m_daemon = std::make_unique<child_process>(
            "daisystiled", std::vector<std::string> {"--front-door", "plain", "--config", file}, (m_folder / "daemon.err").string());
        ASSERT_TRUE(m_daemon->waitReady());
        ASSERT_TRUE(waitFor([this] { return readinessStatus() == 200; }));
    }

    // Starts a second daemon, a stronger one in the same failure domain, so that the first delegates its queries to it.
    void startWithDelegate()
    {
        writeSettings("d2", 1.0);
        m_delegate = launch("d2");
        writeSettings("d1", 0.1);
        m_daemon = launch("d1");
        ASSERT_TRUE(waitFor([this] { return readinessStatus() == 200; }));
        ASSERT_TRUE(waitFor([this, i = 0]() mutable {
            sendRequest("GET", "/find/", "warm" + std::to_string(i++));
            return delegationCount("answered") > 0;
        }));
    }

    void writeSettings(const std::string &id, double strength)
    {
        std::ofstream((m_folder / (id + ".toml")).string())
            << "id = \"" << id << "\"\nfailure_domain = \"port\"\nregion = \"sfax\"\nclients = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\npeers = \""
            << toString(open_listener(0).listenAddress()) << "\"\nqueries = \"" << toString(open_listener(0).listenAddress()) << "\"\nstrength = " << strength
            << "\nstore = \"" << toString(m_store->address("http")) << "\"\ngrace_ms = 6000\n";
    }

    std::unique_ptr<child_process> launch(const std::string &id)
    {
        auto daemon = std::make_unique<child_process>("daisystiled",
            std::vector<std::string> {"--front-door", "plain", "--config", (m_folder / (id + ".toml")).string()},
            (m_folder / (id + ".err")).string());
        EXPECT_TRUE(daemon->waitReady());
        return daemon;
    }

    // Delegations of the first daemon that ended this way.
    int delegationCount(const std::string &outcome)
    {
        return metricOf(*m_daemon, "daisystile_delegations_total{outcome=\"" + outcome + "\"} ").value_or(0);
    }

    // Nothing if the daemon doesn't answer.
    std::optional<int> metricOf(child_process &daemon, const std::string &key)
    {
        const auto result = m_client.call({.address = daemon.address("readiness"), .path = "/metrics"});
        const auto *reply = std::get_if<http_reply>(&result);
        if (reply == nullptr) {
            return std::nullopt;
        }
        const auto at = reply->body.find(key);
        return at == std::string::npos ? 0 : std::atoi(reply->body.c_str() + at + key.size());
    }

    // Hedges that both daemons have sent; the last known number of a delegate that has ended or is paused.
    int hedgeCount()
    {
        const std::string key = "daisystile_attempts_total{purpose=\"hedge\"} ";
        if (m_delegate && !m_delegatePaused && m_delegate->running()) {
            m_delegateHedges = metricOf(*m_delegate, key).value_or(m_delegateHedges);
        }
        return metricOf(*m_daemon, key).value_or(0) + m_delegateHedges;
    }

    // Each shard runs once, but for hedges, which idempotent queries may have: a query that two daemons have sent runs on all
    // shards twice.
    void expectWholeAnswer(const std::string &id)
    {
        const auto hedgesBefore = hedgeCount();
        auto found = sendRequest("GET", "/find/", id);
        EXPECT_EQ(found.status, 200) << id;
        EXPECT_EQ(found.headers["missing-parts"], "0") << id;
        EXPECT_EQ(found.body, std::string(16, 'd') + std::string(16, 'c') + std::string(16, 'b')) << id;
        EXPECT_GE(runCount(id), shardCount) << id;
        EXPECT_LE(runCount(id), shardCount + hedgeCount() - hedgesBefore) << id;
    }

    bool waitFor(const std::function<bool()> &condition, seconds maxWait = seconds {10})
    {
        const auto end = std::chrono::steady_clock::now() + maxWait;
        while (std::chrono::steady_clock::now() < end) {
            if (condition()) {
                return true;
            }
            m_client.waitUntil([] { return false; }, milliseconds {20});
        }
        return condition();
    }

    int readinessStatus()
    {
        return statusOf(m_client.call({.address = m_daemon->address("readiness"), .path = "/v1/readyz"}));
    }

    http_call makeCall(const std::string &method, const std::string &path, const std::string &id)
    {
        return {.method = method,
            .address = m_daemon->address("clients"),
            .path = path,
            .headers = {{"Host", host}, {"Request-Id", id}, {"Deadline-Ms", "2000"}},
            .timeout = milliseconds {5000}};
    }

    http_reply sendRequest(const std::string &method, const std::string &path, const std::string &id)
    {
        const auto result = m_client.call(makeCall(method, path, id));
        const auto *reply = std::get_if<http_reply>(&result);
        return reply == nullptr ? http_reply {} : *reply;
    }

    void setResponseMode(const std::string &service, backend_response_mode mode)
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_serviceOfServer[i] == service) {
                m_servers[i]->setResponseMode(mode);
            }
        }
    }

    void setStatusLine(const std::string &service, std::string_view line)
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_serviceOfServer[i] == service) {
                m_servers[i]->setStatusLine(std::string(line));
            }
        }
    }

    int runCount(const std::string &id) const
    {
        int runs = 0;
        for (const auto &server : m_servers) {
            const auto all = server->runs();
            const auto found = all.find(id);
            runs += found == all.end() ? 0 : found->second;
        }
        return runs;
    }

    // Sends raw bytes and returns what the daemon sends until it closes the connection or one second passes.
    std::string exchangeBytes(const std::string &bytes)
    {
        reactor loop;
        std::string received;
        std::unique_ptr<tcp_stream> stream;
        stream = std::make_unique<tcp_stream>(loop,
            m_daemon->address("clients"),
            tcp_stream::callbacks {.opened = [&] { stream->write(bytes); },
                .received =
                    [&] {
                        received.append(stream->input().view());
                        stream->input().clear();
                    },
                .ended =
                    [&](stream_end) {
                        loop.stop();
                    }});
        loop.after(milliseconds {1000}, [&] { loop.stop(); });
        loop.run();
        return received;
    }

    std::filesystem::path m_folder;
    test_client m_client;
    bool m_delegatePaused = false;
    int m_delegateHedges = 0;
    std::unique_ptr<child_process> m_store;
    std::unique_ptr<child_process> m_daemon;
    std::unique_ptr<child_process> m_delegate;
    std::vector<std::unique_ptr<plain_backend>> m_servers;
    std::vector<std::string> m_serviceOfServer;
};

} // namespace

TEST_F(entry_promises, mergesAQueryAndRelaysARequestUnchanged)
{
    startDaemon();
    const auto found = sendRequest("GET", "/find/a%2Fb?x=%20", "q1");
    EXPECT_EQ(found.status, 200);
    EXPECT_EQ(found.headers.at("missing-parts"), "0");
    EXPECT_EQ(found.body, std::string(16, 'd') + std::string(16, 'c') + std::string(16, 'b'));
    const auto seen = m_servers[0]->latest().target + m_servers[1]->latest().target;
    EXPECT_EQ(seen, "/find/a%2Fb?x=%20");
    const auto read = sendRequest("GET", "/read/1", "q2");
    EXPECT_EQ(read.status, 200);
    EXPECT_EQ(read.body, "written");
    EXPECT_EQ(read.headers.at("request-id"), "q2");
    EXPECT_EQ(sendRequest("GET", "/nowhere/", "q3").status, 404);
}

TEST_F(entry_promises, answersWithoutAShardWhoseServersAreMute)
{
    startDaemon();
    setResponseMode("shard-2", backend_response_mode::no_response);
    const auto started = std::chrono::steady_clock::now();
    const auto found = sendRequest("GET", "/find/", "q1");
    EXPECT_EQ(found.status, 200);
    EXPECT_EQ(found.headers.at("missing-parts"), "1");
    EXPECT_EQ(found.body, std::string(16, 'd') + std::string(16, 'b') + std::string(16, 'a'));
    EXPECT_LT(std::chrono::steady_clock::now() - started, milliseconds {1000});
}

TEST_F(entry_promises, runsOnceWhatMayNotRunTwice)
{
    startDaemon();
    setResponseMode("logbook", backend_response_mode::close_without_response);
    for (int i = 0; i < 10; ++i) {
        const auto id = "n" + std::to_string(i);
        EXPECT_EQ(sendRequest("POST", "/note/", id).status, 502);
        EXPECT_EQ(runCount(id), 1);
    }
}

TEST_F(entry_promises, saysNotRunOnlyWhereEveryServerRefused)
{
    startDaemon();
    setResponseMode("logbook", backend_response_mode::not_executed);
    const auto started = std::chrono::steady_clock::now();
    const auto refused = sendRequest("POST", "/note/", "n1");
    EXPECT_LT(std::chrono::steady_clock::now() - started, milliseconds {500}) << "the refusal must not wait: every server has already refused the request";
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.headers.contains("retry-after"));
    EXPECT_EQ(runCount("n1"), 0);
    m_servers.back()->setResponseMode(backend_response_mode::normal);
    EXPECT_TRUE(waitFor([this, i = 0]() mutable { return sendRequest("POST", "/note/", "m" + std::to_string(i++)).status == 200; }));
}

TEST_F(entry_promises, takesAnotherServerWhereTheAddressWasReused)
{
    startDaemon();
    m_servers[8]->setResponseMode(backend_response_mode::other_server);
    for (int i = 0; i < 6; ++i) {
        const auto id = "n" + std::to_string(i);
        EXPECT_EQ(sendRequest("POST", "/note/", id).status, 200);
        EXPECT_EQ(runCount(id), 1);
    }
}

TEST_F(entry_promises, givesNobodyAnExtraOrTruncatedAnswer)
{
    startDaemon();
    setResponseMode("logbook", backend_response_mode::duplicate_response);
    for (int i = 0; i < 20; ++i) {
        const auto id = "q" + std::to_string(i);
        const auto read = sendRequest("GET", "/read/", id);
        ASSERT_EQ(read.status, 200);
        EXPECT_EQ(read.headers.at("request-id"), id);
    }
    setResponseMode("logbook", backend_response_mode::truncate);
    EXPECT_EQ(sendRequest("GET", "/read/", "t1").status, 502);
    setResponseMode("logbook", backend_response_mode::failing);
    const auto failed = sendRequest("GET", "/read/", "t2");
    EXPECT_EQ(failed.status, 500);
    EXPECT_TRUE(failed.headers.contains("server-stamp"));
}

// A client got an answer whose status was 000, and 600 to 999 as they came.
TEST_F(entry_promises, takesNoAnswerWithAnOddStatus)
{
    startDaemon();
    int sent = 0;
    for (const auto line : oddStatusLines) {
        setStatusLine("logbook", line);
        const auto read = "r" + std::to_string(++sent);
        EXPECT_EQ(sendRequest("GET", "/read/", read).status, 502) << line;
        EXPECT_EQ(runCount(read), 2) << "first and second attempt, " << line;
        const auto note = "n" + std::to_string(sent);
        EXPECT_EQ(sendRequest("POST", "/note/", note).status, 502) << line;
        EXPECT_EQ(runCount(note), 1) << line;
        setStatusLine("shard-2", line);
        const auto found = sendRequest("GET", "/find/", "f" + std::to_string(sent));
        EXPECT_EQ(found.status, 200) << line;
        EXPECT_EQ(found.headers.at("missing-parts"), "1") << line;
    }
}

TEST_F(entry_promises, takesNoPartWithAnOddStatusFromADelegate)
{
    startWithDelegate();
    int sent = 0;
    for (const auto line : oddStatusLines) {
        setStatusLine("shard-2", line);
        const auto found = sendRequest("GET", "/find/", "f" + std::to_string(++sent));
        EXPECT_EQ(found.status, 200) << line;
        EXPECT_EQ(found.headers.at("missing-parts"), "1") << line;
    }
}

TEST_F(entry_promises, followsTheStoreAndServesOnWhileItIsAway)
{
    startDaemon();
    EXPECT_EQ(sendRequest("GET", "/new/", "q1").status, 404);
    writeConfiguration(5, json::array({makeRoute("/new/", "idempotent", {{"service", "logbook"}})}));
    EXPECT_TRUE(waitFor([this, i = 0]() mutable { return sendRequest("GET", "/new/", "w" + std::to_string(i++)).status == 200; }, seconds {3}));
    writeConfiguration(3);
    for (const auto *outage : {"reset", "unavailable", "busy", "hang"}) {
        m_client.send("POST", m_store->address("control"), "/control/faults", {{"down", outage}});
        EXPECT_EQ(sendRequest("GET", "/new/", std::string("o") + outage).status, 200) << outage;
        EXPECT_EQ(readinessStatus(), 200) << outage;
    }
    m_client.send("POST", m_store->address("control"), "/control/faults", {{"down", "none"}});
    writeConfiguration(8);
    EXPECT_TRUE(waitFor([this, i = 0]() mutable { return sendRequest("GET", "/new/", "x" + std::to_string(i++)).status == 404; }, seconds {10}));
}

TEST_F(entry_promises, sendsNothingToADrainingServer)
{
    startDaemon();
    registerServer(8, "draining");
    EXPECT_TRUE(waitFor(
        [this, i = 0]() mutable {
            const auto before = m_servers[8]->runs().size();
            for (int k = 0; k < 10; ++k) {
                sendRequest("GET", "/read/", "d" + std::to_string(i++));
            }
            return m_servers[8]->runs().size() == before;
        },
        seconds {3}));
}

TEST_F(entry_promises, refusesWhatCouldBeReadInTwoWays)
{
    startDaemon();
    const std::string head = "POST /note/ HTTP/1.1\r\nHost: search.example\r\nRequest-Id: s1\r\nDeadline-Ms: 1000\r\n";
    const std::string smuggledRequest = "GET /read/ HTTP/1.1\r\nHost: search.example\r\nRequest-Id: s2\r\n\r\n";
    EXPECT_TRUE(exchangeBytes(head + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n" + smuggledRequest).starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(exchangeBytes(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggledRequest).starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(exchangeBytes("no request at all\r\n\r\n").starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(exchangeBytes(head + "X: " + std::string(5000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(exchangeBytes(head + "Content-Length: 10001\r\n\r\n").starts_with("HTTP/1.1 413"));
    EXPECT_EQ(runCount("s1"), 0);
    EXPECT_EQ(runCount("s2"), 0);
    EXPECT_EQ(sendRequest("GET", "/read/", "s3").status, 200);
}

TEST_F(entry_promises, answersPipelinedAndChunkedRequestsInOrder)
{
    startDaemon();
    const auto answers =
        exchangeBytes("POST /note/ HTTP/1.1\r\nHost: search.example\r\nRequest-Id: p1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                      "GET /read/ HTTP/1.1\r\nHost: search.example\r\nRequest-Id: p2\r\nConnection: close\r\n\r\n");
    const auto first = answers.find("Request-Id: p1");
    const auto second = answers.find("Request-Id: p2");
    EXPECT_NE(first, std::string::npos);
    EXPECT_NE(second, std::string::npos);
    EXPECT_LT(first, second);
    EXPECT_EQ(runCount("p1"), 1);
}

// Guards that an operator can find the cause of a failed request by its id, with only the logs and the command-line tool.
TEST_F(entry_promises, theLogsTellWhyARequestFailed)
{
    startDaemon();
    const auto file = (m_folder / "daemon.log").string();
    const auto traceLines = [&](const std::string &id) {
        std::ofstream(file, std::ios::app) << m_daemon->readOutput();
        child_process tool("daisystile", {"trace", "request", id, file}, (m_folder / "tool.err").string());
        tool.waitExit(seconds {10});
        return tool.readOutput();
    };
    const auto traceContains = [&](const std::string &id, const std::vector<std::string> &words) {
        const auto lines = traceLines(id);
        return std::all_of(words.begin(), words.end(), [&](const auto &word) { return lines.find(word) != std::string::npos; });
    };
    setResponseMode("logbook", backend_response_mode::not_executed);
    sendRequest("POST", "/note/", "refused-1");
    EXPECT_TRUE(waitFor([&] { return traceContains("refused-1", {"Attempt failed.", "reason=\"status 503\"", "outcome=not_run", "Request ended."}); }));
    setResponseMode("shard-2", backend_response_mode::no_response);
    sendRequest("GET", "/find/", "partial-1");
    EXPECT_TRUE(waitFor([&] { return traceContains("partial-1", {"outcome=partial", "parts=3/4", "service=shard-2", "reason=abandoned"}); }));
    setResponseMode("logbook", backend_response_mode::close_without_response);
    sendRequest("POST", "/note/", "lost-1");
    EXPECT_TRUE(waitFor([&] {
        return traceContains("lost-1", {"reason=\"connection closed\"", "outcome=may_have_run", "outcome=failed", "server=logbook-"});
    }));
    EXPECT_EQ(traceLines("lost"), "") << "a prefix of a request id must not match";
}

// The daemon's standard output is a pipe that the test does not read: log writes that block must not delay requests.
TEST_F(entry_promises, aStuckReaderOfItsLogsCostsNoTime)
{
    startDaemon();
    setResponseMode("logbook", backend_response_mode::not_executed);
    constexpr int count = 3000;
    std::vector<http_call> calls;
    calls.reserve(count);
    for (int i = 0; i < count; ++i) {
        calls.push_back(makeCall("POST", "/note/", "stuck-" + std::to_string(i)));
    }
    for (const auto &result : m_client.callAll(std::move(calls), 16)) {
        EXPECT_EQ(statusOf(result), 503);
    }
    setResponseMode("logbook", backend_response_mode::normal);
    EXPECT_TRUE(waitFor([this, i = 0]() mutable { return sendRequest("GET", "/read/", "after-" + std::to_string(i++)).status == 200; }));
}

TEST_F(entry_promises, answersAllItHasReadBeforeItEnds)
{
    startDaemon();
    for (const auto &server : m_servers) {
        server->setDelay(milliseconds {300});
    }
    std::vector<int> statuses;
    for (int i = 0; i < 20; ++i) {
        m_client.start(makeCall("GET", i % 2 == 0 ? "/read/" : "/find/", "e" + std::to_string(i)),
            [&](const http_result &result) { statuses.push_back(statusOf(result)); });
    }
    m_client.waitUntil([] { return false; }, milliseconds {100});
    m_daemon->signal(SIGHUP);
    m_daemon->signal(SIGTERM);
    m_daemon->signal(SIGTERM);
    EXPECT_TRUE(m_client.waitUntil([&] { return statuses.size() == 20; }));
    EXPECT_EQ(readinessStatus(), 503);
    EXPECT_EQ(sendRequest("GET", "/read/", "late").status, 200) << "the load balancer may still open connections during shutdown";
    EXPECT_EQ(m_daemon->waitExit(seconds {7}), 0);
    for (const auto status : statuses) {
        EXPECT_EQ(status, 200);
    }
}

TEST_F(entry_promises, aSlowReaderHasItsAnswerBeforeTheDaemonEnds)
{
    static constexpr std::size_t answerBytes = 7U << 20U;
    int receiveBytes = 16384;
    addServer("logbook", std::string(answerBytes, 'x'));
    for (std::size_t i = 0; i + 1 < m_servers.size(); ++i) {
        registerServer(i, "draining");
    }
    startDaemon();
    const auto address = m_daemon->address("clients");
    std::size_t received = 0;
    std::thread reader([&] {
        const ACE_INET_Addr target(address.port, address.host.c_str());
        ACE_SOCK_Stream stream;
        ASSERT_EQ(stream.open(SOCK_STREAM, AF_INET, 0, 0), 0);
        stream.set_option(SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        ASSERT_EQ(ACE_SOCK_Connector().connect(stream, target), 0);
        const std::string request =
            std::string("GET /read/ HTTP/1.1\r\nHost: ") + host + "\r\nRequest-Id: slow\r\nDeadline-Ms: 5000\r\nConnection: close\r\n\r\n";
        ASSERT_EQ(stream.send_n(request.data(), request.size()), static_cast<ssize_t>(request.size()));
        // Longer than an idle daemon takes to exit after SIGTERM.
        std::this_thread::sleep_for(milliseconds {4500});
        std::array<char, 65536> bytes {};
        for (auto count = stream.recv(bytes.data(), bytes.size()); count > 0; count = stream.recv(bytes.data(), bytes.size())) {
            received += static_cast<std::size_t>(count);
        }
        stream.close();
    });
    EXPECT_TRUE(waitFor([&] { return runCount("slow") == 1; }));
    m_client.waitUntil([] { return false; }, milliseconds {500});
    m_daemon->signal(SIGTERM);
    reader.join();
    EXPECT_GT(received, answerBytes);
    EXPECT_EQ(m_daemon->waitExit(seconds {7}), 0);
}

TEST_F(entry_promises, delegatesQueriesToTheStrongestDaemonOfTheDomain)
{
    startWithDelegate();
    const auto before = delegationCount("answered");
    for (int i = 0; i < 10; ++i) {
        expectWholeAnswer("q" + std::to_string(i));
    }
    EXPECT_EQ(delegationCount("answered"), before + 10);
    EXPECT_EQ(sendRequest("GET", "/read/", "r1").body, "written") << "requests to one service are not delegated";
    EXPECT_EQ(delegationCount("answered"), before + 10);
}

// A daemon that is stopped accepts no offer, so the query runs on the daemon that received it, in time and only once.
TEST_F(entry_promises, runsQueriesItselfWhileTheDelegateIsPaused)
{
    startWithDelegate();
    m_delegatePaused = true;
    m_delegate->signal(SIGSTOP);
    for (int i = 0; i < 5; ++i) {
        const auto started = std::chrono::steady_clock::now();
        expectWholeAnswer("q" + std::to_string(i));
        EXPECT_LT(std::chrono::steady_clock::now() - started, milliseconds {200}) << "the objective";
    }
    EXPECT_GE(delegationCount("unanswered"), 1);
    m_delegate->signal(SIGCONT);
    EXPECT_TRUE(waitFor([this, before = delegationCount("answered"), i = 0]() mutable {
        sendRequest("GET", "/find/", "later" + std::to_string(i++));
        return delegationCount("answered") > before;
    }));
}

TEST_F(entry_promises, losesNoQueryWhenTheDelegateStopsOrIsKilled)
{
    startWithDelegate();
    m_delegate->signal(SIGTERM);
    for (int i = 0; i < 20; ++i) {
        expectWholeAnswer("t" + std::to_string(i));
    }
    EXPECT_TRUE(waitFor([this] { return !m_delegate->running(); }));
    m_delegate = launch("d2");
    EXPECT_TRUE(waitFor(
        [this, before = delegationCount("answered"), i = 0]() mutable {
            sendRequest("GET", "/find/", "again" + std::to_string(i++));
            return delegationCount("answered") > before;
        },
        seconds {20}));
    m_delegate.reset();
    for (int i = 0; i < 5; ++i) {
        expectWholeAnswer("k" + std::to_string(i));
    }
}

TEST_F(entry_promises, sendsNothingMoreToAServerThatSaysItIsLeaving)
{
    startDaemon();
    m_servers[8]->setExtraHeaders("Server-Leaving: 1\r\n");
    for (int i = 0; i < 40; ++i) {
        EXPECT_EQ(sendRequest("GET", "/read/", "r" + std::to_string(i)).status, 200);
    }
    EXPECT_LE(m_servers[8]->runs().size(), 1U);
}

// Every server of the service asks for a pause: the daemon refuses at once, says when to return and asks none of them again.
TEST_F(entry_promises, refusesWhileEveryServerAsksForAPause)
{
    startDaemon();
    setResponseMode("logbook", backend_response_mode::not_executed);
    m_servers[8]->setExtraHeaders("Retry-After: 1.5\r\n");
    m_servers[9]->setExtraHeaders("Retry-After: 1.5\r\n");
    EXPECT_EQ(sendRequest("POST", "/note/", "n0").status, 503);
    setResponseMode("logbook", backend_response_mode::normal);
    const auto started = std::chrono::steady_clock::now();
    const auto refused = sendRequest("POST", "/note/", "n1");
    EXPECT_EQ(refused.status, 503);
    EXPECT_GE(std::atof(refused.headers.at("retry-after").c_str()), 0.25);
    EXPECT_LT(std::chrono::steady_clock::now() - started, milliseconds {100});
    EXPECT_EQ(runCount("n1"), 0);
    EXPECT_TRUE(waitFor([this, i = 0]() mutable { return sendRequest("POST", "/note/", "m" + std::to_string(i++)).status == 200; }));
    EXPECT_GE(std::chrono::steady_clock::now() - started, milliseconds {1000});
}

// Servers of one shard send bytes without end, in each way that a response can go on; the daemon stays small and serves.
TEST_F(entry_promises, servesOnWhileServersSendWithoutEnd)
{
    startDaemon();
    for (const auto mode : {backend_response_mode::endless_head,
             backend_response_mode::endless_interim_responses,
             backend_response_mode::endless_body,
             backend_response_mode::endless_chunk_extension}) {
        setResponseMode("shard-1", mode);
        for (int i = 0; i < 3; ++i) {
            auto found = sendRequest("GET", "/find/", "e" + std::to_string(static_cast<int>(mode)) + "-" + std::to_string(i));
            EXPECT_EQ(found.status, 200);
            EXPECT_EQ(found.headers["missing-parts"], "1");
        }
    }
    setResponseMode("shard-1", backend_response_mode::normal);
    EXPECT_TRUE(waitFor([this, i = 0]() mutable { return sendRequest("GET", "/find/", "n" + std::to_string(i++)).headers["missing-parts"] == "0"; }));
}
