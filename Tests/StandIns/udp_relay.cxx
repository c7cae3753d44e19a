#include "udp_relay.h"

#include "relay_socket.h"

#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace daisystile {

static constexpr std::size_t datagramBytes = 65536;
static constexpr std::size_t maximumClients = 4096;

udp_relay::udp_relay(reactor &loop, int handle, const link_fault_table &faults, fault_random &faultRandom, link_counts &counts)
    : m_loop(loop),
      m_handle(handle),
      m_faults(faults),
      m_faultRandom(faultRandom),
      m_counts(counts)
{
    m_loop.watch(m_handle, {.read = true}, [this] { receiveForward(); });
}

udp_relay::~udp_relay()
{
    *m_alive = false;
    m_loop.unwatch(m_handle);
    close(m_handle);
    for (const auto &[client, handle] : m_clients) {
        m_loop.unwatch(handle);
        close(handle);
    }
}

void udp_relay::setTarget(const ip_address &target)
{
    m_target = target;
}

void udp_relay::receiveForward()
{
    static std::array<char, datagramBytes> buffer;
    sockaddr_in from {};
    socklen_t fromSize = sizeof from;
    const auto size = recvfrom(m_handle, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&from), &fromSize);
    if (size >= 0) {
        relayDatagram(std::string(buffer.data(), static_cast<std::size_t>(size)), fromSocketAddress(from), flow_direction::forward);
    }
}

void udp_relay::receiveBackward(int handle, const ip_address &client)
{
    static std::array<char, datagramBytes> buffer;
    const auto size = recv(handle, buffer.data(), buffer.size(), 0);
    if (size >= 0) {
        relayDatagram(std::string(buffer.data(), static_cast<std::size_t>(size)), client, flow_direction::backward);
    }
}

int udp_relay::socketForClient(const ip_address &client)
{
    const auto found = m_clients.find(client);
    if (found != m_clients.end()) {
        return found->second;
    }
    if (m_clients.size() >= maximumClients) {
        return -1;
    }
    const int handle = openSocket(SOCK_DGRAM);
    m_clients.emplace(client, handle);
    m_loop.watch(handle, {.read = true}, [this, handle, client] { receiveBackward(handle, client); });
    return handle;
}

void udp_relay::relayDatagram(std::string datagram, const ip_address &client, flow_direction direction)
{
    const auto &faults = m_faults.at(client.host);
    m_counts.datagrams += 1;
    if (faults.cut(direction) || m_faultRandom.chance(faults.loss)) {
        m_counts.dropped += 1;
        return;
    }
    auto delay = milliseconds {faults.delayMs} + m_faultRandom.randomDelay(faults.jitterMs);
    if (m_faultRandom.chance(faults.reorder)) {
        m_counts.reordered += 1;
        delay += m_faultRandom.randomDelay(faults.reorderMs);
    }
    if (m_faultRandom.chance(faults.duplicate)) {
        m_counts.duplicated += 1;
        deliverLater(delay + m_faultRandom.randomDelay(faults.reorderMs), datagram, client, direction);
    }
    deliverLater(delay, std::move(datagram), client, direction);
}

void udp_relay::deliverLater(milliseconds delay, std::string datagram, const ip_address &client, flow_direction direction)
{
    if (delay.count() == 0) {
        deliver(datagram, client, direction);
        return;
    }
    m_loop.after(delay, [this, alive = m_alive, datagram = std::move(datagram), client, direction] {
        if (*alive) {
            deliver(datagram, client, direction);
        }
    });
}

void udp_relay::deliver(const std::string &datagram, const ip_address &client, flow_direction direction)
{
    const bool forward = direction == flow_direction::forward;
    const int handle = forward ? socketForClient(client) : m_handle;
    if (handle < 0 || (forward && !m_target)) {
        m_counts.dropped += 1;
        return;
    }
    const auto address = toSocketAddress(forward ? *m_target : client);
    m_counts.bytes += datagram.size();
    sendto(handle, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

} // namespace daisystile
