#pragma once

#include "control_messages.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace daisystile {

struct ownership_settings
{
    /// Counted by the holder from the sending of its request, by the granter from its answer.
    milliseconds lease {4000};
    milliseconds renewEvery {1000};
    milliseconds retryEvery {200};
    /// The granter adds this to every lease, for clocks that run at different rates.
    milliseconds clockMargin {50};
    /// A daemon that became runner-up gives earlier holders so long to hear of it.
    milliseconds settleTime {300};
    /// A starting daemon claims nothing until it has had so long to hear of the others.
    milliseconds joinWait {2000};
    /// A member is taken for dead only after a silence of at least this.
    milliseconds lossDetection {2300};
};

/// The daemons that count for one server, by id.
struct server_choice
{
    backend_server_id server;
    std::optional<daemon_id> owner;
    std::optional<daemon_id> runnerUp;
    /// Another owner and another runner-up counted a moment ago; one may still hold a lease from the other.
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
    incarnation life;
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
    incarnation life;
    lease_release release;
};

/// After stop_serving: nothing of this daemon runs on the server any more.
struct server_quiet
{
    backend_server_id server;
    /// Requests at a time that the server was known to bear; 0 when unknown.
    std::uint16_t allowed = 0;
};

struct ownership_tick
{
};

using ownership_event = std::variant<choices_changed, lease_requested, lease_answered, lease_released, server_quiet, ownership_tick>;

struct send_control
{
    daemon_id to;
    control_message message;
};

/// The server may be sent requests until the time; the gate starts with what its former owner handed over.
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

/// Nothing more is sent to the server; server_quiet is expected once nothing runs there.
struct stop_serving
{
    backend_server_id server;
};

/// A daemon that should have asked or answered did not.
struct peer_overdue
{
    daemon_id id;
};

using ownership_action = std::variant<send_control, start_serving, extend_lease, stop_serving, peer_overdue>;

/// Decides which servers this daemon may send to. The runner-up of each server grants the owner's lease, and takes over
/// only after the last one that it granted has ended. Pure: time comes with each event.
class ownership
{
public:
    ownership(ownership_settings settings, daemon_id self, monotonic_time now);

    std::vector<ownership_action> decide(const ownership_event &event, monotonic_time now);

    /// The end of the lease on a server; in the past when there is none.
    monotonic_time leaseUntil(const backend_server_id &server) const;
    std::size_t heldCount(monotonic_time now) const;
    /// True while a server is served, or was and still has requests of this daemon.
    bool servingAny() const;

private:
    enum class serving_state {
        idle,
        serving,
        /// Told to stop; requests may still run.
        stopping,
    };

    struct granted_lease
    {
        daemon_id holder;
        incarnation life;
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
        /// Known from a hand-over to or by this daemon; 0 when unknown.
        std::uint16_t allowed = 0;
        std::optional<granted_lease> granted;
        /// Who granted the lease that this daemon holds or held last.
        std::optional<daemon_id> granter;
        monotonic_time grantFrom;
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
    void on(const server_quiet &event);
    void on(const ownership_tick &event);

    bool isOwner(const server_record &record) const;
    bool isRunnerUp(const server_record &record) const;
    bool grantedToOther(const server_record &record) const;
    void delayGrants(server_record &record, bool bothReplaced);
    bool grant(const backend_server_id &server, const lease_requested &event, bool renewal, lease_answer &answer);
    void hold(const backend_server_id &server, server_record &record, monotonic_time until);
    void stop(const backend_server_id &server, server_record &record);
    void release(const backend_server_id &server, const server_record &record);
    void askForLeases();
    void reportOverdue();

    ownership_settings m_settings;
    daemon_id m_self;
    monotonic_time m_now;
    monotonic_time m_startedAt;
    std::map<daemon_id, monotonic_time> m_askedAt;
    std::map<backend_server_id, server_record> m_servers;
    std::map<std::uint64_t, sent_request> m_requests;
    std::uint64_t m_nextNumber = 1;
    std::vector<ownership_action> m_actions;
};

} // namespace daisystile
