#pragma once

#include "link_faults.h"

#include <map>
#include <optional>

namespace daisystile {

/// Passes datagrams on to a target, and answers back, through the link's faults.
class udp_relay
{
public:
    /// Takes over a bound socket.
    udp_relay(reactor &loop, int handle, const link_fault_table &faults, fault_dice &dice, link_counts &counts);
    ~udp_relay();
    udp_relay(const udp_relay &) = delete;
    udp_relay &operator=(const udp_relay &) = delete;

    void setTarget(const ip_address &target);

private:
    void receiveForward();
    void receiveBackward(int handle, const ip_address &client);
    /// The socket towards the target that stands for one client.
    int handleFor(const ip_address &client);
    void pass(std::string datagram, const ip_address &client, flow_direction direction);
    void deliver(const std::string &datagram, const ip_address &client, flow_direction direction);
    void deliverLater(milliseconds delay, std::string datagram, const ip_address &client, flow_direction direction);

    reactor &m_loop;
    int m_handle;
    const link_fault_table &m_faults;
    fault_dice &m_dice;
    link_counts &m_counts;
    std::optional<ip_address> m_target;
    std::map<ip_address, int> m_clients;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisystile
