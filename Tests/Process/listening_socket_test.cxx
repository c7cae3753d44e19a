#include "open_listener.h"

using namespace daisystile;

namespace {

leaf::result<void> open(const ip_address &address)
{
    BOOST_LEAF_AUTO(handle, openListeningSocket(address, 1));
    close(handle);
    return {};
}

std::optional<process_failure> failureToOpen(const ip_address &address)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<process_failure>> {
            BOOST_LEAF_CHECK(open(address));
            return std::nullopt;
        },
        [](const process_error &error) { return std::optional(error.failure); },
        [] { return std::optional(process_failure::library_failed); });
}

/// Accepts one connection and tells the port of the end that opened it.
ip_address acceptedPeer(const open_listener &listener)
{
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    EXPECT_GE(accept(listener.handle, reinterpret_cast<sockaddr *>(&peer), &size), 0);
    return {"127.0.0.1", ntohs(peer.sin_port)};
}

} // namespace

TEST(listening_socket, tellsWhyAnAddressCannotBeOpened)
{
    const open_listener taken(1);
    EXPECT_EQ(failureToOpen(taken.listenAddress()), process_failure::address_in_use);
    EXPECT_EQ(failureToOpen({"192.0.2.1", 0}), process_failure::address_absent);
    EXPECT_EQ(failureToOpen({"no-address", 0}), process_failure::address_malformed);
    EXPECT_EQ(failureToOpen({"127.0.0.1", 0}), std::nullopt);
}

// A connection of a daemon got the port of another daemon's listener on the same host, which then couldn't start.
TEST(listening_socket, opensThePortOfAnOutgoingConnection)
{
    reactor loop;
    const open_listener server(4);
    const tcp_stream stream(loop, server.listenAddress(), {.opened = {}, .received = {}, .ended = [](stream_end) {
                                                           }});
    EXPECT_EQ(failureToOpen(acceptedPeer(server)), std::nullopt);

    http_client client(loop);
    client.send({.address = server.listenAddress()}, [&loop](const http_result &) { loop.stop(); });
    std::optional<process_failure> failure;
    loop.watch(server.handle, {.read = true, .write = false}, [&] {
        failure = failureToOpen(acceptedPeer(server));
        loop.unwatch(server.handle);
    });
    loop.run();
    EXPECT_EQ(failure, std::nullopt);
}

TEST(address_wait, triesAgainOnlyWhatCanPass)
{
    address_wait wait("clients", {"127.0.0.1", 80});
    EXPECT_FALSE(wait.failed({process_failure::address_not_permitted, "127.0.0.1:80"}, {}));
    EXPECT_FALSE(wait.failed({process_failure::address_malformed, "127.0.0.1:80"}, {}));
    EXPECT_FALSE(wait.waiting());
    EXPECT_TRUE(wait.failed({process_failure::address_in_use, "127.0.0.1:80"}, {}));
    EXPECT_TRUE(wait.waiting());
    EXPECT_EQ(wait.text(), "clients 127.0.0.1:80 (address is taken: 127.0.0.1:80)");
    wait.opened({});
    EXPECT_FALSE(wait.waiting());
}
