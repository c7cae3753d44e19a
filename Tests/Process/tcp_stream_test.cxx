#include "open_listener.h"

#include <array>
#include <chrono>
#include <thread>

using namespace daisystile;

namespace {

/// Two ends of a TCP connection: the accepted one for the event loop, the other for the test's reader thread.
std::array<int, 2> connectedPair()
{
    const open_listener listener(1);
    const int peer = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(peer, reinterpret_cast<const sockaddr *>(&listener.address), sizeof listener.address), 0);
    return {accept(listener.handle, nullptr, nullptr), peer};
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

class slow_readers : public testing::TestWithParam<milliseconds>
{
};

TEST_P(slow_readers, receiveAllDataBeforeTheConnectionIsClosed)
{
    static constexpr std::size_t answerBytes = 32U << 20U;
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
        std::this_thread::sleep_for(GetParam());
        received = readAll(ends[1]);
        close(ends[1]);
        loop.post([&] { loop.stop(); });
    });
    loop.run();
    peer.join();
    EXPECT_EQ(received, answerBytes);
}

INSTANTIATE_TEST_SUITE_P(pauses, slow_readers, testing::Values(milliseconds {1200}, milliseconds {5000}));
