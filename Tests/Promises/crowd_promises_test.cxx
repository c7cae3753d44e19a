#include "client_crowd.h"
#include "plain_fleet.h"
#include "process_figures.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <csignal>
#include <iostream>
#include <sstream>

using namespace daisystile;

namespace {

constexpr std::uint64_t memoryMb = 48;
constexpr std::uint64_t bytesPerMegabyte = 1U << 20U;
constexpr rlim_t descriptorLimit = 1024;
// Of these 448 are for clients, 64 for operators and 128 for files; the rest are for connections to servers and daemons.
constexpr std::size_t maxDescriptors = 1000;
constexpr int headBytes = 16384;
constexpr int bodyBytes = 256 << 10;
constexpr int members = 240;
// More than the daemon has connections for.
constexpr int manyMembers = 700;
// Members that send more than a frame holds.
constexpr int membersWithFrames = 64;
constexpr std::size_t frameBytes = 4U << 20U;
constexpr std::size_t largeAnswerBytes = 4U << 20U;
// Sent at once, these many bytes leave no socket room for a whole body.
constexpr std::size_t smallPieceBytes = 1024;

std::string startLines(const std::string &method, const std::string &path, const std::string &lines)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + plain_fleet::host + "\r\nRequest-Id: crowd\r\n" + lines;
}

std::string get(const std::string &lines)
{
    return startLines("GET", "/read/x", lines) + "\r\n";
}

std::string post(int stated, int sent, const std::string &path = "/read/x")
{
    return startLines("POST", path, "Content-Length: " + std::to_string(stated) + "\r\n\r\n") + std::string(static_cast<std::size_t>(sent), 'b');
}

/// A head of the longest legal size, without its end, in the shortest fields that there are.
std::string shortFields()
{
    auto text = startLines("GET", "/read/x", "");
    while (text.size() + 8 < headBytes) {
        text += "a:\r\n";
    }
    return text;
}

/// A head without end whose pieces end one byte after a line, so that nothing but that byte is left to be read.
std::string fieldsWithoutEnd(std::size_t pieceBytes, std::size_t bytes)
{
    constexpr std::size_t fieldBytes = 4;
    auto text = startLines("GET", "/read/x", "Filler: ");
    while ((text.size() + 3) % fieldBytes != 0 || text.size() + 3 < pieceBytes / 2) {
        text += 'f';
    }
    text += "\r\n";
    while (text.size() < bytes) {
        text += "a:\r\n";
    }
    return text;
}

std::string tinyChunks()
{
    auto text = startLines("POST", "/read/x", "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < bodyBytes - 1; ++i) {
        text += "1\r\nb\r\n";
    }
    return text;
}

std::string pipelined()
{
    std::string text;
    for (int i = 0; i < 120; ++i) {
        text += get("Deadline-Ms: 1400\r\nFiller: " + std::string(2000, 'f') + "\r\n");
    }
    return text;
}

/// The start of a frame between daemons, one byte short of the longest.
std::string frameJustShort()
{
    std::string text {0, '\x3f', '\xff', '\xff'};
    return text + std::string(frameBytes - 2, 'f');
}

/// Daemons of which the first has little memory and few descriptors.
class crowd_promises : public testing::Test
{
protected:
    void start(plain_fleet::layout layout)
    {
        layout.headBytes = headBytes;
        layout.bodyBytes = bodyBytes;
        layout.headTimeoutMs = 120000;
        layout.settings = "memory_mb = " + std::to_string(memoryMb) + "\n";
        m_fleet = std::make_unique<plain_fleet>(layout);
        ASSERT_TRUE(m_fleet->start());
        m_fleet->killDaemon(0);
        ASSERT_TRUE(startFirst());
    }

    void start()
    {
        start({.daemons = 3, .logbookServers = 3});
    }

    bool startFirst()
    {
        rlimit before {};
        getrlimit(RLIMIT_NOFILE, &before);
        const rlimit few {descriptorLimit, before.rlim_max};
        setrlimit(RLIMIT_NOFILE, &few);
        const bool started = m_fleet->startDaemon(0);
        setrlimit(RLIMIT_NOFILE, &before);
        return started && m_fleet->waitUntilReady();
    }

    ip_address clients() const
    {
        return m_fleet->clientsAddress(0);
    }

    std::vector<std::uint16_t> ports() const
    {
        return {clients().port, m_fleet->readinessAddress(0).port, m_fleet->daemonsAddress(0, "peers").port, m_fleet->daemonsAddress(0, "queries").port};
    }

    memory_watch watch() const
    {
        return {m_fleet->daemonProcess(0), ports()};
    }

    /// One request of a caller that has no connection yet.
    bool answered(const std::string &body = {})
    {
        m_fleet->drainOutput();
        http_call call {.method = body.empty() ? "GET" : "POST", .address = clients(), .path = "/read/x", .body = body, .timeout = seconds {10}};
        call.newConnection = true;
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q" + std::to_string(++m_sent)}, {"Deadline-Ms", "5000"}};
        return statusOf(m_fleet->control().call(std::move(call))) == 200;
    }

    void expectServed()
    {
        EXPECT_TRUE(m_fleet->control().waitUntil([this] { return answered(); })) << "an ordinary request";
        EXPECT_TRUE(m_fleet->control().waitUntil([this] { return answered(std::string(bodyBytes / 2, 'o')); })) << "with a body";
        EXPECT_TRUE(m_fleet->control().waitUntil([this] { return m_fleet->daemonReady(0); })) << "readiness";
    }

    void expectBounded(const memory_watch &watched)
    {
        const int pid = m_fleet->daemonProcess(0);
        const auto peak = std::max(peakResidentBytes(pid), watched.peakBytes());
        EXPECT_GT(peakResidentBytes(pid), 0U) << "the process has ended";
        EXPECT_LE(peak, memoryMb * bytesPerMegabyte);
        EXPECT_LE(openDescriptors(pid), maxDescriptors);
        std::cout << "peak memory " << peak / 1024 << " kB, resident " << peakResidentBytes(pid) / 1024 << " kB, unread " << watched.peakUnreadBytes() / 1024
                  << " kB" << std::endl;
    }

    /// Lets the crowd send, and then, while it stays, and once it has gone, expects ordinary requests to be served.
    void face(const ip_address &address, int size, client_crowd::plan plan)
    {
        const auto watched = watch();
        {
            client_crowd crowd(address, size, std::move(plan));
            crowd.run();
            expectServed();
        }
        expectServed();
        expectBounded(watched);
    }

    /// The same while the crowd goes on.
    void facePressing(const ip_address &address, int size, client_crowd::plan plan)
    {
        const auto watched = watch();
        {
            const pressing_crowd crowd(address, size, std::move(plan));
            expectServed();
        }
        expectServed();
        expectBounded(watched);
    }

    std::unique_ptr<plain_fleet> m_fleet;
    int m_sent = 0;
};

} // namespace

TEST_F(crowd_promises, headsOfManyShortFields)
{
    start();
    face(clients(), members, {.bytes = shortFields()});
}

TEST_F(crowd_promises, headsWithoutEnd)
{
    start();
    constexpr std::size_t headWithoutEndBytes = 2U << 20U;
    face(clients(), members, {.bytes = fieldsWithoutEnd(smallPieceBytes, headWithoutEndBytes), .pieceBytes = smallPieceBytes});
}

TEST_F(crowd_promises, answersThatNobodyReadsOnClosingConnections)
{
    // Answers that are read from servers at the same time share a bound of their own, so the crowd comes in groups.
    constexpr int groups = 12;
    constexpr int groupMembers = 2;
    start({.daemons = 3, .logbookServers = 3, .answerBytes = largeAnswerBytes});
    const auto watched = watch();
    {
        std::vector<std::unique_ptr<client_crowd>> crowds;
        for (int i = 0; i < groups; ++i) {
            const client_crowd::plan plan {.bytes = get("Connection: close\r\nDeadline-Ms: 1400\r\n"), .reads = false};
            crowds.push_back(std::make_unique<client_crowd>(clients(), groupMembers, plan));
            crowds.back()->run();
        }
        EXPECT_TRUE(m_fleet->control().waitUntil([this] { return answered(); })) << "an ordinary request";
    }
    expectServed();
    expectBounded(watched);
}

TEST_F(crowd_promises, framesBeforeTheHandshakeAtPeers)
{
    start();
    facePressing(m_fleet->daemonsAddress(0, "peers"), membersWithFrames, {.bytes = frameJustShort(), .returns = 10 * membersWithFrames});
}

TEST_F(crowd_promises, framesBeforeTheHandshakeAtQueries)
{
    start();
    facePressing(m_fleet->daemonsAddress(0, "queries"), membersWithFrames, {.bytes = frameJustShort(), .returns = 10 * membersWithFrames});
}

TEST_F(crowd_promises, manyConnectionsAtPeers)
{
    start();
    facePressing(m_fleet->daemonsAddress(0, "peers"), 2 * manyMembers, {.bytes = {}, .returns = 20 * manyMembers});
}

TEST_F(crowd_promises, manyConnectionsAtQueries)
{
    start();
    facePressing(m_fleet->daemonsAddress(0, "queries"), 2 * manyMembers, {.bytes = {}, .returns = 20 * manyMembers});
}

TEST_F(crowd_promises, unfinishedRequestsAtReadiness)
{
    start();
    face(m_fleet->readinessAddress(0), members, {.bytes = post(bodyBytes, bodyBytes - 1, "/v1/quarantine")});
}

TEST_F(crowd_promises, unfinishedHeadsAtReadiness)
{
    start();
    face(m_fleet->readinessAddress(0), members, {.bytes = "GET /v1/readyz HTTP/1.1\r\nHost: h\r\n"});
}

TEST_F(crowd_promises, oneByteOnEachConnection)
{
    start();
    face(clients(), manyMembers, {.bytes = "G"});
}

TEST_F(crowd_promises, oneByteOnEachConnectionAgainAndAgain)
{
    start();
    facePressing(clients(), manyMembers, {.bytes = "G", .returns = 100 * manyMembers});
}

TEST_F(crowd_promises, bodiesAllAtOnce)
{
    start();
    facePressing(clients(), manyMembers, {.bytes = post(bodyBytes, bodyBytes - 1), .returns = 10 * manyMembers});
}

TEST_F(crowd_promises, allFormsAtOnce)
{
    start();
    constexpr int share = 80;
    const auto watched = watch();
    {
        const pressing_crowd bodies(clients(), share, {.bytes = post(bodyBytes, bodyBytes - 1), .returns = 10 * share});
        const pressing_crowd pieces(clients(), share, {.bytes = post(bodyBytes, bodyBytes - 1), .pieceBytes = smallPieceBytes});
        const pressing_crowd chunks(clients(), share, {.bytes = tinyChunks(), .returns = 2 * share});
        const pressing_crowd heads(clients(), share, {.bytes = shortFields(), .returns = 10 * share});
        const pressing_crowd requests(clients(), share, {.bytes = pipelined(), .returns = 2 * share});
        const pressing_crowd whole(clients(), share, {.bytes = post(bodyBytes, bodyBytes), .returns = 10 * share});
        expectServed();
    }
    expectServed();
    expectBounded(watched);
}

TEST_F(crowd_promises, wholeRequestsWhoseWorkTakesLong)
{
    constexpr milliseconds longWork {1000};
    start();
    m_fleet->setDelay(longWork);
    const auto watched = watch();
    {
        client_crowd crowd(clients(), members, {.bytes = post(bodyBytes / 4, bodyBytes / 4) + get("") + get("")});
        crowd.run();
    }
    m_fleet->setDelay(milliseconds {2});
    expectServed();
    expectBounded(watched);
}

TEST_F(crowd_promises, longIdsOfQueriesOverManyShards)
{
    constexpr milliseconds longWork {1000};
    start({.daemons = 3, .logbookServers = 3, .shards = 24});
    m_fleet->setDelay(longWork);
    const auto watched = watch();
    {
        const auto request = "GET /find/x HTTP/1.1\r\nHost: " + std::string(plain_fleet::host)
            + "\r\nDeadline-Ms: 1400\r\nRequest-Id: " + std::string(headBytes - 200, 'i') + "\r\n\r\n";
        client_crowd crowd(clients(), members, {.bytes = request + request + request + request});
        crowd.run();
    }
    m_fleet->setDelay(milliseconds {2});
    expectServed();
    expectBounded(watched);
}

TEST_F(crowd_promises, queriesWithBodiesThatAreDelegated)
{
    start({.daemons = 6, .logbookServers = 3, .shards = 12});
    const auto watched = watch();
    {
        std::vector<std::unique_ptr<pressing_crowd>> crowds;
        for (std::size_t i = 0; i < m_fleet->daemonCount(); ++i) {
            crowds.push_back(std::make_unique<pressing_crowd>(
                m_fleet->clientsAddress(i), members, client_crowd::plan {.bytes = post(bodyBytes, bodyBytes, "/find/x"), .returns = 2 * members}));
        }
        expectServed();
    }
    expectServed();
    expectBounded(watched);
}

TEST_F(crowd_promises, aPlannedStopBesideTheCrowd)
{
    start();
    const auto watched = watch();
    const pressing_crowd crowd(clients(), members, {.bytes = post(bodyBytes, bodyBytes - 1), .returns = 10 * members});
    expectServed();
    expectBounded(watched);
    kill(m_fleet->daemonProcess(0), SIGTERM);
    EXPECT_TRUE(m_fleet->control().waitUntil([this] { return residentBytes(m_fleet->daemonProcess(0)) == 0; })) << "the process goes on";
    ASSERT_TRUE(startFirst());
    expectServed();
}

TEST_F(crowd_promises, limitsThatFallWhileTheCrowdStays)
{
    start();
    const auto watched = watch();
    client_crowd crowd(clients(), members, {.bytes = post(bodyBytes, bodyBytes - 1), .pieceBytes = smallPieceBytes});
    crowd.run();
    m_fleet->setLimits(headBytes / 4, bodyBytes * 2);
    expectServed();
    m_fleet->setLimits(headBytes, bodyBytes);
    expectServed();
    expectBounded(watched);
}
