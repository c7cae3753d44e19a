#pragma once

#include "link_faults.h"

#include <map>
#include <optional>

namespace daisystile {

/// Relays datagrams to a target, and its responses back to the clients, and injects the faults of the link.
class udp_relay
{
public:
    /// Takes ownership of a bound socket.
    udp_relay(reactor &loop, int handle, const link_fault_table &faults, fault_random &faultRandom, link_counts &counts);
    ~udp_relay();
    udp_relay(const udp_relay &) = delete;
    udp_relay &operator=(const udp_relay &) = delete;

    void setTarget(const ip_address &target);

private:
    void receiveForward();
    void receiveBackward(int handle, const ip_address &client);
    /// The socket to the target that is used for one client; -1 if there are too many clients.
    int socketForClient(const ip_address &client);
    void relayDatagram(std::string datagram, const ip_address &client, flow_direction direction);
    void deliver(const std::string &datagram, const ip_address &client, flow_direction direction);
    void deliverLater(milliseconds delay, std::string datagram, const ip_address &client, flow_direction direction);

    reactor &m_loop;
    int m_handle;
    const link_fault_table &m_faults;
    fault_random &m_faultRandom;
    link_counts &m_counts;
    std::optional<ip_address> m_target;
    std::map<ip_address, int> m_clients;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisystile
