#include "Process/process.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>

using namespace daisystile;

namespace {

/// Two ends of a connection: one for the loop, one that a test's own thread reads.
std::array<int, 2> connectedPair()
{
    std::array<int, 2> ends {-1, -1};
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
    return ends;
}

std::size_t readAll(int handle)
{
    std::array<char, 65536> bytes {};
    std::size_t total = 0;
    for (auto count = read(handle, bytes.data(), bytes.size()); count > 0; count = read(handle, bytes.data(), bytes.size())) {
        total += static_cast<std::size_t>(count);
    }
    return total;
}

} // namespace

TEST(tcp_stream, sendsEverythingToAPeerThatReadsLate)
{
    static constexpr std::size_t answerBytes = 8U << 20U;
    reactor loop;
    const auto ends = connectedPair();
    tcp_stream stream(loop,
        ends[0],
        {.opened = {},
            .received = [] {},
            .ended =
                [](stream_end) {
                }});
    stream.write(std::string(answerBytes, 'x'));
    ASSERT_GT(stream.unsent(), 0U);
    stream.closeWhenSent();
    std::size_t received = 0;
    std::thread peer([&] {
        std::this_thread::sleep_for(milliseconds {1200});
        received = readAll(ends[1]);
        close(ends[1]);
        loop.post([&] { loop.stop(); });
    });
    loop.run();
    peer.join();
    EXPECT_EQ(received, answerBytes);
}
