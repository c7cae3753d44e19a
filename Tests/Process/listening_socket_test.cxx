#include "open_listener.h"

#include <fstream>
#include <iomanip>
#include <sstream>

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

/// Sockets of any process that have this local port.
int socketsOnPort(std::uint16_t port)
{
    std::ostringstream suffix;
    suffix << ':' << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << port;
    std::ifstream table("/proc/net/tcp");
    int count = 0;
    for (std::string line, number, local; std::getline(table, line);) {
        std::istringstream words(line);
        words >> number >> local;
        count += local.ends_with(suffix.str()) ? 1 : 0;
    }
    return count;
}

/// Whether a listener could open the port of this connection, which must stay open. The kernel may give the same port to a connection of
/// another process, which doesn't share it; then nothing is known.
std::optional<bool> canOpenPortOf(const ip_address &connection)
{
    if (!failureToOpen(connection)) {
        return true;
    }
    if (socketsOnPort(connection.port) > 1) {
        return std::nullopt;
    }
    return !failureToOpen(connection);
}

constexpr int maxConnections = 100;

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
    std::optional<bool> opens;
    for (int i = 0; i < maxConnections && !opens; ++i) {
        const tcp_stream stream(loop, server.listenAddress(), {.opened = {}, .received = {}, .ended = [](stream_end) {
                                                               }});
        opens = canOpenPortOf(acceptedPeer(server));
    }
    EXPECT_EQ(opens, true);
}

TEST(listening_socket, opensThePortOfACallOfTheHttpClient)
{
    reactor loop;
    const open_listener server(4);
    std::optional<bool> opens;
    for (int i = 0; i < maxConnections && !opens; ++i) {
        http_client client(loop);
        client.send({.address = server.listenAddress()}, [&loop](const http_result &) { loop.stop(); });
        loop.watch(server.handle, {.read = true, .write = false}, [&] {
            opens = canOpenPortOf(acceptedPeer(server));
            loop.unwatch(server.handle);
        });
        loop.run();
    }
    EXPECT_EQ(opens, true);
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
