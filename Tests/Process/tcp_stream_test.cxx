#include "no_more_descriptors.h"
#include "open_listener.h"

#include <array>
#include <chrono>
#include <optional>
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

namespace {

double threadProcessorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_THREAD, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

void runFor(reactor &loop, milliseconds time)
{
    loop.after(time, [&] { loop.stop(); });
    loop.run();
}

} // namespace

// A listener without descriptors for its connections kept the event loop busy.
TEST(tcp_listener, restsWhileThereIsNoDescriptorForAConnection)
{
    constexpr milliseconds span {500};
    reactor loop;
    std::vector<int> handles;
    const auto listener = tcp_listener::listen(loop, {"127.0.0.1", 0}, [&](int handle) { handles.push_back(handle); }).value();
    tcp_stream client(loop,
        listener->address(),
        {.opened = {},
            .received = [] {},
            .ended =
                [](stream_end) {
                }});
    {
        const no_more_descriptors shortage;
        const auto before = threadProcessorSeconds();
        runFor(loop, span);
        EXPECT_TRUE(handles.empty());
        EXPECT_LT(threadProcessorSeconds() - before, 0.25 * std::chrono::duration<double>(span).count());
    }
    runFor(loop, milliseconds {100});
    ASSERT_EQ(handles.size(), 1U);
    close(handles[0]);
}

// A process without descriptors took the servers that it could not connect to for ended.
TEST(tcp_stream, tellsAShortageOfItsOwnFromARefusal)
{
    const open_listener listener(1);
    reactor loop;
    std::optional<stream_end> end;
    const no_more_descriptors shortage;
    tcp_stream stream(loop,
        listener.listenAddress(),
        {.opened = {},
            .received = [] {},
            .ended =
                [&](stream_end how) {
                    end = how;
                    loop.stop();
                }});
    loop.run();
    EXPECT_EQ(end, stream_end::local_shortage);
}
