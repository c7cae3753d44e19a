#pragma once

#include "connection_error.h"
#include "datagram_socket.h"
#include "membership.h"
#include "owner_history.h"
#include "ownership.h"
#include "slot_manager.h"

#include <functional>
#include <memory>
#include <vector>

namespace daisystile {

/// Membership and lease protocols of this daemon over UDP. Used on the control thread only.
class fleet_member
{
public:
    struct callbacks
    {
        /// The set of members or their states changed; ordered by id, this daemon included.
        std::function<void(std::vector<member>)> membersChanged;
        std::function<void(const lease_change &)> leaseChanged;
        /// A message that another component handles, such as a config_digest.
        std::function<void(const daemon_id &, const control_message &)> message;
        /// A daemon with this daemon's id and a later incarnation is running; this one must stop.
        std::function<void()> superseded;
    };

    fleet_member(reactor &loop, const daemon_settings &settings, metrics &registry, callbacks notify);
    ~fleet_member();
    fleet_member(const fleet_member &) = delete;
    fleet_member &operator=(const fleet_member &) = delete;

    /// Opens the control address. Errors: those of openListeningSocket().
    leaf::result<ip_address> listen();
    /// Joins the fleet; the control address of self must be the one under which others reach this daemon.
    void start(member self);

    /// Sends to a known member; messages to unknown ones are dropped.
    void send(const daemon_id &to, control_message message);

    void setHosts(std::vector<listed_host> hosts);
    /// Applies the servers and members of a published view.
    void setView(std::shared_ptr<const fleet_view> view);
    /// The traffic thread's answer to stop_serving.
    void serverIdle(const server_idle &idle);

    /// Other daemons take the servers over; holdsServers() returns false once they are released.
    void startLeaving();
    bool holdsServers() const;
    void finishLeaving();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
