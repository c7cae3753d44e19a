#include "client_crowd.h"
#include "plain_fleet.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace daisystile;

namespace {

constexpr int memoryMb = 48;
constexpr int members = 240;
// Fewer take as much with large answers, of which their sockets hold a part.
constexpr int membersWithLargeAnswers = 24;
constexpr std::size_t largeAnswerBytes = 1U << 20U;
constexpr int bodyBytes = 256 << 10;
constexpr int ordinaryBodyBytes = 200 << 10;
constexpr std::size_t largeChunkBytes = 32U << 10U;
constexpr rlim_t descriptorLimit = 1024;
// With that limit 448 for clients, 64 for operators and 128 for files; the rest are for connections to servers.
constexpr std::ptrdiff_t maxDescriptors = 640;

std::uint64_t peakMemoryKb(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (file >> word && word != "VmHWM:") { }
    std::uint64_t kilobytes = 0;
    file >> kilobytes;
    return kilobytes;
}

std::ptrdiff_t openDescriptors(int pid)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", error);
    return std::distance(begin(entries), end(entries));
}

std::string head(const std::string &method, const std::string &lines)
{
    return method + " /read/x HTTP/1.1\r\nHost: " + plain_fleet::host + "\r\nRequest-Id: crowd\r\n" + lines + "\r\n";
}

std::string bodyJustShort()
{
    return head("POST", "Content-Length: " + std::to_string(bodyBytes) + "\r\n") + std::string(bodyBytes - 1, 'b');
}

/// A chunked body one byte short of its limit, without its last chunk; the chunks get 1 byte longer each, up to `maxChunk`.
std::string chunksJustShort(std::size_t minChunk, std::size_t maxChunk)
{
    std::ostringstream text;
    text << head("POST", "Transfer-Encoding: chunked\r\n") << std::hex;
    std::size_t size = minChunk;
    for (std::size_t left = bodyBytes - 1; left > 0;) {
        size = std::min(size, left);
        text << size << "\r\n" << std::string(size, 'b') << "\r\n";
        left -= size;
        size = size == maxChunk ? minChunk : size + 1;
    }
    return text.str();
}

std::string manyRequests(int count, std::size_t headBytes)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += head("GET", "Deadline-Ms: 1400\r\nFiller: " + std::string(headBytes, 'f') + "\r\n");
    }
    return text;
}

class client_memory : public testing::Test
{
protected:
    void start(std::size_t answerBytes = 16)
    {
        rlimit before {};
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
        const rlimit few {descriptorLimit, before.rlim_max};
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
        plain_fleet::layout layout {.daemons = 3, .logbookServers = 3, .answerBytes = answerBytes, .headBytes = 16384, .bodyBytes = bodyBytes};
        layout.headTimeoutMs = 120000;
        layout.settings = "memory_mb = " + std::to_string(memoryMb) + "\n";
        m_fleet = std::make_unique<plain_fleet>(layout);
        ASSERT_TRUE(m_fleet->start());
    }

    /// Lets the crowd send, and then, while it stays, checks the daemon and sends it ordinary requests.
    void face(client_crowd::plan plan, int crowdSize = members)
    {
        client_crowd crowd(m_fleet->clientsAddress(0), crowdSize, std::move(plan));
        crowd.run();
        const int pid = m_fleet->daemonProcess(0);
        EXPECT_LE(openDescriptors(pid), maxDescriptors);
        EXPECT_TRUE(m_fleet->control().waitUntil([this] { return answered("GET", ""); })) << "an ordinary request";
        EXPECT_TRUE(m_fleet->control().waitUntil([this] { return answered("POST", std::string(ordinaryBodyBytes, 'o')); })) << "with a body";
        EXPECT_LE(openDescriptors(pid), maxDescriptors);
        const auto peak = peakMemoryKb(pid);
        EXPECT_GT(peak, 0U) << "the process has ended";
        EXPECT_LE(peak, memoryMb * 1024U);
        RecordProperty("peak_kb", std::to_string(peak));
        std::cout << "peak memory " << peak << " kB" << std::endl;
    }

    bool answered(const std::string &method, const std::string &body)
    {
        http_call call {.method = method, .address = m_fleet->clientsAddress(0), .path = "/read/x", .body = body, .timeout = seconds {10}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q" + std::to_string(++m_sent)}, {"Deadline-Ms", "5000"}};
        return statusOf(m_fleet->control().call(std::move(call))) == 200;
    }

    std::unique_ptr<plain_fleet> m_fleet;
    int m_sent = 0;
};

} // namespace

TEST_F(client_memory, staysBoundedUnderWholeBodiesJustShortOfTheirEnd)
{
    start();
    face({.bytes = bodyJustShort()});
}

TEST_F(client_memory, staysBoundedUnderBodiesInPieces)
{
    start();
    face({.bytes = bodyJustShort(), .pieceBytes = 1024});
}

TEST_F(client_memory, staysBoundedUnderLargeChunks)
{
    start();
    face({.bytes = chunksJustShort(largeChunkBytes, largeChunkBytes)});
}

TEST_F(client_memory, staysBoundedUnderTinyChunks)
{
    start();
    face({.bytes = chunksJustShort(1, 3)});
}

TEST_F(client_memory, staysBoundedUnderHeadsByteByByte)
{
    start();
    face({.bytes = manyRequests(1, 2000).substr(0, 2000), .pieceBytes = 1});
}

TEST_F(client_memory, staysBoundedUnderPipelinedRequests)
{
    start();
    face({.bytes = manyRequests(120, 2000)});
}

TEST_F(client_memory, staysBoundedUnderAnswersThatNobodyReads)
{
    start(largeAnswerBytes);
    face({.bytes = manyRequests(8, 10), .reads = false}, membersWithLargeAnswers);
}

TEST_F(client_memory, staysBoundedUnderCrowdsThatReturnAtOnce)
{
    start();
    face({.bytes = bodyJustShort(), .returns = 10 * members});
}
