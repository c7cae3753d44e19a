#include "Connection/connection.h"

#include <gtest/gtest.h>

#include <open_listener.h>
#include <sys/socket.h>

using namespace daisystile;

static constexpr milliseconds giveUp {5000};

namespace {

struct endpoint
{
    endpoint(reactor &loop, const std::string &name, const std::string &key)
        : network(loop,
            {{{name}, {1}}, key},
            {[this](const peer_identity &from, peer_message message) {
                 received.emplace_back(from, std::get<cancel_batch>(std::move(message)).query.query.value);
                 changed();
             },
                [this](const peer_loss &loss) {
                    losses.push_back(loss);
                    changed();
                }})
    {
        address = network.listen({"127.0.0.1", 0}).value();
    }

    std::vector<std::pair<peer_identity, std::uint64_t>> received;
    std::vector<peer_loss> losses;
    std::function<void()> changed = [] {
    };
    ip_address address;
    peer_network network;
};

class peer_network_test : public testing::Test
{
protected:
    void runUntil(const std::function<bool()> &reached)
    {
        const auto check = [this, reached] {
            if (reached()) {
                m_loop.stop();
            }
        };
        m_a.changed = check;
        m_b.changed = check;
        m_loop.after(giveUp, [this] { m_loop.stop(); });
        m_loop.run();
        ASSERT_TRUE(reached());
    }

    static peer_message numbered(std::uint64_t number)
    {
        return cancel_batch {{{"a"}, {1}, {number}}, {}};
    }

    reactor m_loop;
    endpoint m_a {m_loop, "a", "key"};
    endpoint m_b {m_loop, "b", "key"};
};

} // namespace

TEST_F(peer_network_test, deliversMessagesQueuedBeforeTheHandshakeInOrder)
{
    m_a.network.setPeers({{{"b"}, m_b.address}});
    for (std::uint64_t i = 0; i < 1000; ++i) {
        ASSERT_TRUE(m_a.network.send({"b"}, numbered(i)));
    }
    runUntil([&] { return m_b.received.size() == 1000; });
    for (std::uint64_t i = 0; i < 1000; ++i) {
        EXPECT_EQ(m_b.received[i].second, i);
        EXPECT_EQ(m_b.received[i].first, (peer_identity {{"a"}, {1}}));
    }
}

TEST_F(peer_network_test, answersOverAnAcceptedLink)
{
    m_a.network.setPeers({{{"b"}, m_b.address}});
    m_a.network.send({"b"}, numbered(1));
    bool answered = false;
    runUntil([&] {
        if (!m_b.received.empty() && !answered) {
            answered = true;
            m_b.network.send({"a"}, numbered(2));
        }
        return !m_a.received.empty();
    });
}

TEST_F(peer_network_test, refusesAPeerWithAnotherKey)
{
    endpoint stranger(m_loop, "x", "other key");
    stranger.network.setPeers({{{"b"}, m_b.address}});
    ASSERT_TRUE(stranger.network.send({"b"}, numbered(1)));
    stranger.changed = [this] {
        m_loop.stop();
    };
    runUntil([&] { return !stranger.losses.empty(); });
    EXPECT_TRUE(stranger.losses[0].neverEstablished);
    EXPECT_TRUE(m_b.received.empty());
}

TEST_F(peer_network_test, reportsAnUnreachablePeer)
{
    m_a.network.setPeers({{{"c"}, {"127.0.0.1", 1}}});
    ASSERT_TRUE(m_a.network.send({"c"}, numbered(1)));
    runUntil([&] { return !m_a.losses.empty(); });
    EXPECT_TRUE(m_a.losses[0].neverEstablished);
    EXPECT_FALSE(m_a.network.send({"nobody"}, numbered(1)));
}

TEST(frame_reader_test, splitsAStreamThatArrivesByteByByte)
{
    std::string stream;
    appendFrame(stream, "one");
    appendFrame(stream, "");
    appendFrame(stream, "three");
    frame_reader reader;
    std::vector<std::string> frames;
    for (const char byte : stream) {
        reader.feed({&byte, 1});
        std::string_view payload;
        while (reader.next(payload).value()) {
            frames.emplace_back(payload);
        }
    }
    EXPECT_EQ(frames, (std::vector<std::string> {"one", "", "three"}));
}

TEST(frame_reader_test, refusesALengthOverASmallerLimit)
{
    constexpr std::uint32_t limitBytes = 100;
    std::string bytes;
    appendFrame(bytes, std::string(limitBytes + 1, 'x'));
    frame_reader reader;
    reader.feed(std::string_view(bytes).substr(0, 10));
    std::string_view payload;
    EXPECT_FALSE(reader.next(payload, limitBytes));
}

TEST(frame_reader_test, refusesALengthOverTheLimit)
{
    frame_reader reader;
    reader.feed(std::string_view("\x7f\xff\xff\xff", 4));
    std::string_view payload;
    EXPECT_FALSE(reader.next(payload));
}

// A link between two daemons could keep a third one of the same host from listening.
TEST(peer_link, leavesItsPortFreeForAListener)
{
    reactor loop;
    const open_listener server(4);
    const peer_link link(loop,
        server.listenAddress(),
        {{{"a"}, {1}}, "key"},
        {[](const auto &) {},
            [](std::string_view) {},
            [](const auto &) {
            }});
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    const int accepted = accept(server.handle, reinterpret_cast<sockaddr *>(&peer), &size);
    ASSERT_GE(accepted, 0);
    const auto opened = openListeningSocket({"127.0.0.1", ntohs(peer.sin_port)}, 1);
    EXPECT_TRUE(opened);
    if (opened) {
        close(*opened);
    }
    close(accepted);
}
