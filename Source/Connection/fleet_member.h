#pragma once

#include "connection_error.h"
#include "datagram_socket.h"
#include "membership.h"
#include "owner_history.h"
#include "ownership.h"
#include "slot_keeper.h"

#include <functional>
#include <memory>
#include <vector>

namespace daisystile {

/// This daemon among the others: membership and leases over UDP; lives on the control thread.
class fleet_member
{
public:
    struct callbacks
    {
        /// Other members, or other states of theirs; in order of their ids, this daemon included.
        std::function<void(std::vector<member>)> membersChanged;
        std::function<void(const lease_change &)> leaseChanged;
        /// A message of another part, such as a config_digest.
        std::function<void(const daemon_id &, const control_message &)> message;
        /// A later life of this daemon's id runs; this one must stop.
        std::function<void()> superseded;
    };

    fleet_member(reactor &loop, const daemon_settings &settings, metrics &registry, callbacks notify);
    ~fleet_member();
    fleet_member(const fleet_member &) = delete;
    fleet_member &operator=(const fleet_member &) = delete;

    /// Opens the control address. Errors: process_error{address_in_use}.
    leaf::result<ip_address> listen();
    /// Joins the fleet; the control address of self is the one that others reach.
    void start(member self);

    /// Sends to a known member; a message to another is dropped.
    void send(const daemon_id &to, control_message message);

    void setHosts(std::vector<listed_host> hosts);
    /// Takes the servers and members of a published view.
    void setView(std::shared_ptr<const fleet_view> view);
    /// The traffic thread's answer to stop_serving.
    void serverQuiet(const server_quiet &quiet);

    /// Others take the servers over; holdsServers() tells when they have been released.
    void startLeaving();
    bool holdsServers() const;
    void finishLeaving();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
