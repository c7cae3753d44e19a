#pragma once

#include "delegation_messages.h"
#include "forward_metrics.h"
#include "routing_snapshot.h"
#include "running_request.h"

#include <Connection/connection.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace daisystile {

/// The query didn't run: no daemon took it in time.
struct delegation_declined
{
};
/// The other daemon took the query and its answer is lost.
struct delegation_lost
{
};
using delegation_outcome = std::variant<client_reply, delegation_declined, delegation_lost>;
/// Called with the daemon to which the query was offered.
using delegation_callback = std::function<void(const daemon_id &, delegation_outcome)>;

/// The reply to the client of a query that another daemon has refused or failed; nothing if the status isn't that of a failure.
std::optional<local_reply> replyTo(const delegated_failure &failure);

/// Delegates queries to other daemons over one connection to each. A query is offered first and sent only when the offer is
/// accepted, so that a daemon that is stopped, cut off or overloaded costs a short wait and never runs the query twice.
/// Used on the traffic thread only.
class delegation_client
{
public:
    delegation_client(reactor &loop, const daemon_id &self, forward_metrics &metrics);
    ~delegation_client();
    delegation_client(const delegation_client &) = delete;
    delegation_client &operator=(const delegation_client &) = delete;

    void update(const routing_snapshot &view);
    /// Opens connections to the first of these delegates, so that queries needn't wait for them.
    void openLinks(const std::vector<fleet_daemon> &delegates);

    /// Offers a query, or the given parts of it, to the first of the delegates that is connected and in good health. It is sent
    /// with the time that is then left. Returns 0 and calls nothing if there is none; otherwise calls back once, later, unless
    /// cancelled.
    delegation_id
    start(const std::vector<fleet_daemon> &delegates, const running_request &request, const std::vector<part_index> &parts, delegation_callback done);
    void cancel(delegation_id delegation);
    /// The delegate to which a running delegation was offered.
    const daemon_id &delegateOf(delegation_id delegation) const;

private:
    struct delegate;
    struct delegation;

    void connect(delegate &target);
    void disconnected(const daemon_id &id);
    void received(const daemon_id &id, std::string_view frame);
    void handle(delegate &from, const offer_reply &reply);
    void handle(delegate &from, delegated_answer answer);
    void handle(delegate &from, const delegated_failure &failure);
    /// Any other message is one that only this daemon sends.
    template<class Message> void handle(delegate &from, const Message &message);
    void offerTimedOut(delegation_id number);
    void end(delegation_id number, delegation_outcome outcome);
    void sweep();
    delegate *usableDelegate(const std::vector<fleet_daemon> &delegates);

    reactor &m_loop;
    peer_credentials m_credentials;
    forward_metrics &m_metrics;
    std::map<daemon_id, std::unique_ptr<delegate>> m_delegates;
    std::map<delegation_id, std::unique_ptr<delegation>> m_delegations;
    // Destroyed on the next sweep, because they may be closed from within their own callbacks.
    std::vector<std::unique_ptr<peer_link>> m_retired;
    delegation_id m_next = 1;
};

} // namespace daisystile
