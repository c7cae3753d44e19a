#pragma once

#include "control_messages.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace daisystile {

struct ownership_settings
{
    /// Duration of a lease. The holder counts it from the sending of its request, the granter from its answer.
    milliseconds lease {4000};
    milliseconds renewEvery {1000};
    milliseconds retryEvery {200};
    /// Added by the granter to every lease to allow for clocks that run at different rates.
    milliseconds clockMargin {50};
    /// A daemon that became runner-up grants no new lease for this time, in which earlier holders learn of the change.
    milliseconds settleTime {300};
    /// A starting daemon requests no leases for this time, in which it learns of the other members.
    milliseconds joinWait {2000};
    /// Minimum time without an answer before a member is declared dead.
    milliseconds failureDetectionTime {2300};
};

/// Owner and runner-up of one server.
struct server_choice
{
    backend_server_id server;
    std::optional<daemon_id> owner;
    std::optional<daemon_id> runnerUp;
    /// A recent view had another owner and another runner-up; that owner may still hold a lease from that runner-up.
    bool bothReplaced = false;
};

/// The servers under a new view for which this daemon is owner or runner-up.
struct choices_changed
{
    std::vector<server_choice> choices;
};

struct lease_requested
{
    daemon_id from;
    incarnation incarnationNumber;
    lease_request request;
};

struct lease_answered
{
    daemon_id from;
    lease_answer answer;
};

struct lease_released
{
    daemon_id from;
    incarnation incarnationNumber;
    lease_release release;
};

/// Follows stop_serving: this daemon has no more running requests on the server.
struct server_idle
{
    backend_server_id server;
    /// Concurrency limit established for the server; 0 when unknown.
    std::uint16_t allowed = 0;
};

struct ownership_tick
{
};

using ownership_event = std::variant<choices_changed, lease_requested, lease_answered, lease_released, server_idle, ownership_tick>;

struct send_control
{
    daemon_id to;
    control_message message;
};

/// Requests may be sent to the server until the given time; the gate starts with the limit that the previous owner handed
/// over.
struct start_serving
{
    backend_server_id server;
    monotonic_time until;
    std::uint16_t allowed = 0;
};

struct extend_lease
{
    backend_server_id server;
    monotonic_time until;
};

/// No more requests are sent to the server; server_idle is expected once none of them is running there.
struct stop_serving
{
    backend_server_id server;
};

/// A daemon has not sent an expected lease request or answer.
struct peer_unresponsive
{
    daemon_id id;
};

using ownership_action = std::variant<send_control, start_serving, extend_lease, stop_serving, peer_unresponsive>;

/// Decides which servers this daemon may send to. The runner-up of each server grants the owner's lease, and takes over
/// only after the last lease that it granted has expired. Deterministic: the time is passed with each event.
class ownership
{
public:
    ownership(ownership_settings settings, daemon_id self, monotonic_time now);

    std::vector<ownership_action> decide(const ownership_event &event, monotonic_time now);

    /// Expiry of the lease on a server; in the past when there is none.
    monotonic_time leaseUntil(const backend_server_id &server) const;
    std::size_t heldLeaseCount(monotonic_time now) const;
    /// True while any server is served, or has running requests of this daemon after it stopped serving.
    bool servingAny() const;

private:
    enum class serving_state {
        idle,
        serving,
        /// No new requests are sent; earlier ones may still be running.
        stopping,
    };

    struct granted_lease
    {
        daemon_id holder;
        incarnation incarnationNumber;
        std::uint64_t number = 0;
        monotonic_time until;
        monotonic_time grantedAt;
        bool reported = false;
    };

    struct server_record
    {
        std::optional<daemon_id> owner;
        std::optional<daemon_id> runnerUp;
        serving_state serving = serving_state::idle;
        monotonic_time leaseUntil;
        /// From a hand-over to or by this daemon; 0 when unknown.
        std::uint16_t allowed = 0;
        std::optional<granted_lease> granted;
        /// The granter of the lease that this daemon holds or held last.
        std::optional<daemon_id> granter;
        monotonic_time grantNotBefore;
    };

    struct sent_request
    {
        daemon_id to;
        monotonic_time sentAt;
        bool reported = false;
    };

    void on(const choices_changed &event);
    void on(const lease_requested &event);
    void on(const lease_answered &event);
    void on(const lease_released &event);
    void on(const server_idle &event);
    void on(const ownership_tick &event);

    bool isOwner(const server_record &record) const;
    bool isRunnerUp(const server_record &record) const;
    bool hasOutstandingGrant(const server_record &record) const;
    void delayGrants(server_record &record, bool bothReplaced);
    bool grant(const backend_server_id &server, const lease_requested &event, bool renewal, lease_answer &answer);
    void acceptLease(const backend_server_id &server, server_record &record, monotonic_time until);
    void stopServing(const backend_server_id &server, server_record &record);
    void release(const backend_server_id &server, const server_record &record);
    void requestLeases();
    void reportUnresponsivePeers();

    ownership_settings m_settings;
    daemon_id m_self;
    monotonic_time m_now;
    monotonic_time m_startedAt;
    std::map<daemon_id, monotonic_time> m_lastRequestAt;
    std::map<backend_server_id, server_record> m_servers;
    std::map<std::uint64_t, sent_request> m_requests;
    std::uint64_t m_nextNumber = 1;
    std::vector<ownership_action> m_actions;
};

} // namespace daisystile
