#pragma once

#include "delegation_messages.h"
#include "forwarder.h"
#include "quota_keeper.h"

#include <Connection/connection.h>

#include <map>
#include <memory>

namespace daisystile {

/// Runs queries that other daemons delegate to this one. Used on the traffic thread only.
class delegation_server
{
public:
    delegation_server(reactor &loop, forwarder &requests, quota_keeper &quotas, const entry_settings &settings);

    /// Tells whether it listens: false once it has to wait for its address, then true.
    void onListening(std::function<void(bool)> listens);
    /// Listens once the view has the key that authenticates daemons and the address is free.
    void update(const routing_snapshot &view);
    /// From now on no daemon can connect and all offers are declined; queries that have begun go on.
    void startDraining();
    std::size_t runningQueries() const;

private:
    using link_number = std::uint64_t;

    /// The connection of a daemon that delegates, and its queries that run here.
    struct delegating_daemon
    {
        std::unique_ptr<peer_link> link;
        std::map<delegation_id, request_number> running;
        daemon_id id;
        /// It has asked for tokens of quotas on this connection.
        bool asksTokens = false;
    };

    void accepted(int handle);
    void closed(link_number number);
    void received(link_number number, std::string_view frame);
    void handle(link_number number, const query_offer &offer);
    void handle(link_number number, delegated_query query);
    void handle(link_number number, const delegation_cancelled &cancelled);
    void handle(link_number number, const tokens_question &question);
    /// Any other message is one that only this daemon sends.
    template<class Message> void handle(link_number number, const Message &message);
    void answer(link_number number, delegation_id delegation, const client_reply &reply);
    void send(link_number number, const delegation_message &message);
    void drop(link_number number);
    /// Whether a query that was routed by this version of the configuration may run here now.
    bool mayTake(std::uint64_t configurationVersion) const;

    reactor &m_loop;
    forwarder &m_requests;
    quota_keeper &m_quotas;
    ip_address m_address;
    peer_credentials m_credentials;
    std::unique_ptr<tcp_listener> m_listener;
    std::unique_ptr<address_opener> m_opener;
    std::function<void(bool)> m_listens;
    std::map<link_number, delegating_daemon> m_links;
    // The latest connection on which each daemon has asked for tokens.
    std::map<daemon_id, link_number> m_tokenLinks;
    link_number m_next = 1;
    bool m_draining = false;
};

} // namespace daisystile
