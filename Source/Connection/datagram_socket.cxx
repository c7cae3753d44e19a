#include "datagram_socket.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>

#include <array>
#include <cerrno>

namespace daisystile {

static constexpr std::size_t maximalDatagramBytes = 65536;
// Bounds the work per wakeup, so that a flood on this socket does not starve the reactor's other file descriptors.
static constexpr int maxDatagramsPerWakeup = 64;

struct datagram_socket::implementation
{
    reactor *loop = nullptr;
    ACE_SOCK_Dgram socket;
    handler handle;
    datagram_counts counts;
    std::array<char, maximalDatagramBytes> buffer {};

    void receive()
    {
        for (int i = 0; i < maxDatagramsPerWakeup; ++i) {
            ACE_INET_Addr from;
            const auto size = socket.recv(buffer.data(), buffer.size(), from);
            if (size <= 0) {
                return;
            }
            ++counts.received;
            counts.receivedBytes += static_cast<std::uint64_t>(size);
            handle({from.get_host_addr(), from.get_port_number()}, {buffer.data(), static_cast<std::size_t>(size)});
        }
    }
};

datagram_socket::datagram_socket()
    : m_implementation(std::make_unique<implementation>())
{
}

datagram_socket::~datagram_socket()
{
    if (m_implementation->loop) {
        m_implementation->loop->unwatch(m_implementation->socket.get_handle());
    }
    m_implementation->socket.close();
}

leaf::result<std::unique_ptr<datagram_socket>> datagram_socket::open(reactor &loop, const ip_address &address, handler handle)
{
    auto opened = std::make_unique<datagram_socket>();
    auto &self = *opened->m_implementation;
    if (self.socket.open(ACE_INET_Addr(address.port, address.host.c_str(), AF_INET)) != 0) {
        return leaf::new_error(bindError(errno, address));
    }
    self.socket.enable(ACE_NONBLOCK);
    self.handle = std::move(handle);
    self.loop = &loop;
    loop.watch(self.socket.get_handle(), {true, false}, [&self] { self.receive(); });
    return opened;
}

ip_address datagram_socket::address() const
{
    ACE_INET_Addr local;
    m_implementation->socket.get_local_addr(local);
    return {local.get_host_addr(), local.get_port_number()};
}

void datagram_socket::send(const ip_address &to, std::string_view bytes)
{
    auto &self = *m_implementation;
    const auto sent = self.socket.send(bytes.data(), bytes.size(), ACE_INET_Addr(to.port, to.host.c_str(), AF_INET));
    if (sent > 0) {
        ++self.counts.sent;
        self.counts.sentBytes += static_cast<std::uint64_t>(sent);
    }
}

datagram_counts datagram_socket::counts() const
{
    return m_implementation->counts;
}

} // namespace daisystile
