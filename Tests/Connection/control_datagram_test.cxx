#include "Connection/connection.h"

#include <gtest/gtest.h>

using namespace daisystile;

static const std::string peerKey = "key";

static control_datagram sampleDatagram()
{
    control_datagram datagram;
    datagram.sender = {"a"};
    datagram.incarnationNumber = {7};
    datagram.updates.push_back({{{"b"}, {2}, {"medina"}, {"sfax"}, {"127.0.0.1", 1}, {"127.0.0.1", 2}, member_state::suspect}, 3});
    datagram.digests.push_back({{"medina"}, 11});
    datagram.message = lease_request {5, {{"s1"}}, {{"s2"}}};
    return datagram;
}

static connection_failure failureOf(const std::string &bytes, const std::string &key)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<connection_failure> {
            BOOST_LEAF_CHECK(decodeControlDatagram(bytes, key));
            return connection_failure::peer_unknown;
        },
        [](const connection_error &error) { return error.failure; },
        [] { return connection_failure::peer_unreachable; });
}

TEST(control_datagram, roundTripsUpdatesDigestsAndMessage)
{
    const auto decoded = decodeControlDatagram(encodeControlDatagram(sampleDatagram(), peerKey), peerKey);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->updates.at(0).subject.state, member_state::suspect);
    EXPECT_EQ(decoded->updates.at(0).refutation, 3U);
    EXPECT_EQ(decoded->digests.at(0).digest, 11U);
    EXPECT_EQ(std::get<lease_request>(decoded->message).wanted.at(0).value, "s2");
}

TEST(control_datagram, refusesAnotherKeyAndEveryChangedByte)
{
    auto bytes = encodeControlDatagram(sampleDatagram(), peerKey);
    EXPECT_EQ(failureOf(bytes, "other"), connection_failure::key_refused);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        bytes[i] ^= 1;
        EXPECT_EQ(failureOf(bytes, peerKey), connection_failure::key_refused) << i;
        bytes[i] ^= 1;
        EXPECT_NE(failureOf(bytes.substr(0, i), peerKey), connection_failure::peer_unknown) << i;
    }
}

TEST(datagram_socket, deliversADatagram)
{
    reactor loop;
    std::string received;
    const auto onDatagram = [&](const ip_address &, std::string_view bytes) {
        received = bytes;
        loop.stop();
    };
    auto receiver = datagram_socket::open(loop, {"127.0.0.1", 0}, onDatagram);
    auto sender = datagram_socket::open(loop, {"127.0.0.1", 0}, [](const ip_address &, std::string_view) {});
    ASSERT_TRUE(receiver && sender);
    sender.value()->send(receiver.value()->address(), "hello");
    loop.run();
    EXPECT_EQ(received, "hello");
    EXPECT_EQ(receiver.value()->counts().receivedBytes, 5U);
}
