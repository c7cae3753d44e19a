#pragma once

#include "link_faults.h"

#include <list>
#include <memory>
#include <optional>

namespace daisystile {

/// Relays TCP connections to a target and injects the faults of the link.
class tcp_relay
{
public:
    /// Takes ownership of a bound socket.
    tcp_relay(reactor &loop, int listening, const link_fault_table &faults, fault_random &faultRandom, link_counts &counts);
    ~tcp_relay();
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    void setTarget(const ip_address &target);
    /// Applies changed faults to open connections. Call it after each change.
    void applyFaults();
    /// Resets the connections of a source, or all connections if the source is empty.
    void resetAll(const std::string &source);

private:
    class connection;

    void accept();
    void removeConnection(connection *closed);

    reactor &m_loop;
    int m_listening;
    const link_fault_table &m_faults;
    fault_random &m_faultRandom;
    link_counts &m_counts;
    std::optional<ip_address> m_target;
    std::list<std::shared_ptr<connection>> m_connections;
};

} // namespace daisystile
