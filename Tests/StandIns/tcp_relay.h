#pragma once

#include "link_faults.h"

#include <list>
#include <memory>
#include <optional>

namespace daisystile {

/// Passes connections on to a target, byte by byte, through the link's faults.
class tcp_relay
{
public:
    /// Takes over a bound socket.
    tcp_relay(reactor &loop, int listening, const link_fault_table &faults, fault_dice &dice, link_counts &counts);
    ~tcp_relay();
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    void setTarget(const ip_address &target);
    /// Connections see changed faults only after this.
    void faultsChanged();
    /// Resets all connections of a source; of all sources when it is empty.
    void resetAll(const std::string &source);

private:
    class connection;

    void accept();
    void retire(connection *ended);

    reactor &m_loop;
    int m_listening;
    const link_fault_table &m_faults;
    fault_dice &m_dice;
    link_counts &m_counts;
    std::optional<ip_address> m_target;
    std::list<std::shared_ptr<connection>> m_connections;
};

} // namespace daisystile
