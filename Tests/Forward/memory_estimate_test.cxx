#include <Forward/forward.h>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <new>

using namespace daisystile;

namespace {

// What the allocator takes beside what was asked for: the size before each block.
constexpr std::size_t blockHeadBytes = sizeof(std::size_t);

std::atomic<std::size_t> allocatedBytes {0};

void *countedAllocation(std::size_t size)
{
    void *block = std::malloc(size);
    if (block != nullptr) {
        allocatedBytes += malloc_usable_size(block) + blockHeadBytes;
    }
    return block;
}

void countedFree(void *block)
{
    if (block != nullptr) {
        allocatedBytes -= malloc_usable_size(block) + blockHeadBytes;
    }
    std::free(block);
}

} // namespace

void *operator new(std::size_t size)
{
    if (void *block = countedAllocation(size)) {
        return block;
    }
    throw std::bad_alloc();
}

void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    return countedAllocation(size);
}

void operator delete(void *block) noexcept
{
    countedFree(block);
}

void operator delete(void *block, std::size_t) noexcept
{
    countedFree(block);
}

namespace {

constexpr int members = 50;
constexpr int headBytes = 16384;
// The account may miss as little as this share of what is held.
constexpr double maxMissedShare = 0.1;

/// A client that sends what its connection takes and never waits.
class plain_client
{
public:
    explicit plain_client(const ip_address &address)
        : m_handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
        EXPECT_EQ(connect(m_handle, reinterpret_cast<const sockaddr *>(&target), sizeof target), 0);
    }

    ~plain_client()
    {
        close(m_handle);
    }

    plain_client(const plain_client &) = delete;
    plain_client &operator=(const plain_client &) = delete;

    /// False once everything was sent.
    bool sendMore(std::string_view bytes)
    {
        const auto count = send(m_handle, bytes.data() + m_sent, bytes.size() - m_sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        m_sent += count < 0 ? 0 : static_cast<std::size_t>(count);
        return m_sent < bytes.size();
    }

private:
    int m_handle;
    std::size_t m_sent = 0;
};

/// A server for clients, of which the account is compared with what the process has allocated.
class memory_estimate : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(leaf::try_handle_all(
            [this]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(m_clients.listen({"127.0.0.1", 0}));
                return true;
            },
            [] { return false; }));
        runFor(milliseconds {50});
    }

    static entry_settings settings()
    {
        entry_settings settings;
        settings.id = {"d1"};
        settings.clientMemoryBytes = 1U << 30U;
        return settings;
    }

    void runFor(milliseconds time)
    {
        m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    /// Lets each of the members send these bytes; what they make the process hold must be in the account.
    void expectCounted(const std::string &bytes)
    {
        std::vector<std::unique_ptr<plain_client>> clients;
        clients.reserve(members);
        const auto allocatedBefore = allocatedBytes.load();
        const auto countedBefore = m_requests.memory().usedBytes();
        for (int i = 0; i < members; ++i) {
            clients.push_back(std::make_unique<plain_client>(m_clients.address()));
        }
        const auto allocatedByClients = allocatedBytes.load() - allocatedBefore;
        bool more = true;
        while (more) {
            more = false;
            for (const auto &client : clients) {
                more = client->sendMore(bytes) || more;
            }
            runFor(milliseconds {5});
        }
        runFor(milliseconds {100});
        const auto allocated = allocatedBytes.load() - allocatedBefore - allocatedByClients;
        const auto counted = m_requests.memory().usedBytes() - countedBefore;
        EXPECT_GE(static_cast<double>(counted), (1 - maxMissedShare) * static_cast<double>(allocated));
        RecordProperty("allocated", std::to_string(allocated));
        std::cout << "a member: allocated " << allocated / members << ", counted " << counted / members << std::endl;
    }

    reactor m_loop;
    metrics m_registry;
    forwarder m_requests {m_loop, settings(), m_registry};
    client_server m_clients {m_loop, m_requests, m_registry, 2 * members};
};

const std::string startOfHead = "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\n";

std::string fields(const std::string &field)
{
    std::string text = startOfHead;
    while (text.size() + field.size() + 100 < headBytes) {
        text += field;
    }
    return text;
}

} // namespace

TEST_F(memory_estimate, countsConnectionsThatSendNothing)
{
    expectCounted("");
}

TEST_F(memory_estimate, countsConnectionsThatSendAByte)
{
    expectCounted("G");
}

TEST_F(memory_estimate, countsUnfinishedHeadsOfShortFields)
{
    expectCounted(fields("a:\r\n"));
}

TEST_F(memory_estimate, countsUnfinishedHeadsOfFieldsThatJustNeedABlock)
{
    expectCounted(fields("abcdefghijklmnop:abcdefghijklmnop\r\n"));
}

TEST_F(memory_estimate, countsUnfinishedHeadsOfOneLongField)
{
    expectCounted(startOfHead + "Filler: " + std::string(headBytes - 200, 'f'));
}

TEST_F(memory_estimate, countsWholeHeadsOfShortFieldsBeforeTheirBody)
{
    expectCounted(startOfHead + "Content-Length: 1000\r\n" + fields("a:\r\n").substr(startOfHead.size() + 100) + "\r\n" + std::string(999, 'b'));
}

TEST_F(memory_estimate, countsUnfinishedBodies)
{
    expectCounted(startOfHead + "Content-Length: 100000\r\n\r\n" + std::string(99999, 'b'));
}

TEST_F(memory_estimate, countsSmallUnfinishedBodies)
{
    expectCounted(startOfHead + "Content-Length: 100\r\n\r\n" + std::string(99, 'b'));
}

TEST_F(memory_estimate, countsChunks)
{
    std::string text = startOfHead + "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 50000; ++i) {
        text += "1\r\nb\r\n";
    }
    expectCounted(text);
}

TEST_F(memory_estimate, countsUnfinishedExtensionsOfChunks)
{
    expectCounted(startOfHead + "Transfer-Encoding: chunked\r\n\r\n5;" + std::string(headBytes - 100, 'e'));
}

TEST_F(memory_estimate, countsUnfinishedTrailers)
{
    expectCounted(startOfHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields("a:\r\n").substr(startOfHead.size(), headBytes - 100));
}
