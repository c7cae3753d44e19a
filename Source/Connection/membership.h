#pragma once

#include "member_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <variant>
#include <vector>

namespace daisystile {

struct membership_settings
{
    milliseconds probeInterval {500};
    /// Time without an answer to a direct probe after which other members are asked to probe.
    milliseconds directTimeout {300};
    milliseconds indirectTimeout {500};
    unsigned indirectProbes = 3;
    /// Time that a suspect member of this daemon's own failure domain has to refute the suspicion.
    milliseconds localSuspicionTimeout {1500};
    /// The same for members of other failure domains, which learn of the suspicion later.
    milliseconds remoteSuspicionTimeout {2500};
    /// Every n-th probe goes to another failure domain.
    unsigned remoteProbeEvery = 3;
    /// Interval of the attempts to reach a dead member and listed hosts that are not members.
    milliseconds reconnectInterval {1000};
    milliseconds syncInterval {2000};
    std::size_t updatesPerDatagram = 6;
    /// Members to which a changed state is sent at once.
    unsigned gossipFanout = 3;
    /// Limit of gossip rounds per second, independent of the fleet's size.
    double gossipRoundsPerSecond = 10;
    /// Limit of datagrams per second that answer table requests.
    double tableDatagramsPerSecond = 40;
    /// Time after the start in which the daemon may choose a greater incarnation number than a reported one of its own id.
    milliseconds joinPeriod {3000};
};

/// A host on the platform's list, which may be out of date.
struct listed_host
{
    ip_address control;
    bool leaving = false;
};

struct membership_tick
{
};

struct datagram_received
{
    ip_address from;
    control_datagram datagram;
};

/// The platform's newest list of hosts.
struct hosts_listed
{
    std::vector<listed_host> hosts;
};

/// Another component of this daemon expected a message from a member and did not receive it.
struct member_unresponsive
{
    daemon_id id;
};

struct leave_started
{
};

/// The daemon exits; it announces itself as dead.
struct leave_finished
{
};

using membership_event = std::variant<membership_tick, datagram_received, hosts_listed, member_unresponsive, leave_started, leave_finished>;

struct send_datagram
{
    ip_address to;
    control_datagram datagram;
};

/// The set of members or their states have changed.
struct members_changed
{
};

/// A daemon with this daemon's id and a later incarnation is running; this one must stop.
struct incarnation_superseded
{
    incarnation by;
};

using membership_action = std::variant<send_datagram, members_changed, incarnation_superseded>;

/// Token bucket that limits a rate; its capacity is two seconds' worth of tokens.
struct token_bucket
{
    double tokens = 0;
    monotonic_time refilledAt;

    bool take(double perSecond, monotonic_time now);
};

/// Failure detector with direct and indirect probes, suspicion and gossip. Deterministic: the time is passed with each
/// event, and random choices depend only on the seed.
class membership
{
public:
    membership(membership_settings settings, member self, std::uint64_t seed, monotonic_time now);

    std::vector<membership_action> decide(const membership_event &event, monotonic_time now);

    /// All members that are not dead, this daemon included, ordered by id.
    std::vector<member> members() const;
    const member_table &table() const;

private:
    struct pending_probe
    {
        daemon_id target;
        incarnation incarnationNumber;
        monotonic_time sentAt;
        bool indirect = false;
    };

    /// A probe sent on behalf of another daemon.
    struct relayed_probe
    {
        daemon_id origin;
        std::uint64_t number = 0;
        monotonic_time sentAt;
    };

    void on(const membership_tick &event);
    void on(const datagram_received &event);
    void on(const hosts_listed &event);
    void on(const member_unresponsive &event);
    void on(const leave_started &event);
    void on(const leave_finished &event);

    void onMessage(const datagram_received &event, const probe &message);
    void onMessage(const datagram_received &event, const probe_answer &message);
    void onMessage(const datagram_received &event, const indirect_probe &message);
    void onMessage(const datagram_received &event, const table_request &message);
    template<class Other> void onMessage(const datagram_received &, const Other &)
    {
    }

    void compensateOwnPause();
    void probeNext();
    void startProbe(const daemon_id &target);
    std::optional<daemon_id> nextProbeTarget();
    void checkProbes();
    void startIndirectProbes(std::uint64_t number, const pending_probe &pending);
    void suspect(const daemon_id &id, incarnation incarnationNumber);
    void checkSuspects();
    void reconnect();
    void applyUpdate(const member_update &told);
    member_update downgradeUnconfirmedDeath(const member_update &update) const;
    milliseconds suspicionTimeout(const member &other) const;
    void refute(const member_update &update);
    void compareDigests(const datagram_received &event);
    void sendGossip();
    void sendTo(const daemon_id &id, control_message message);
    void reply(const datagram_received &event, control_message message);
    std::vector<member_update> updatesFor(const daemon_id &id) const;
    void sendTo(const ip_address &address, control_message message, std::vector<member_update> updates);
    control_datagram compose(control_message message, std::vector<member_update> updates);
    void setOwnState(member_state state);
    bool isInOwnDomain(const member &other) const;
    std::vector<daemon_id> randomSample(std::vector<daemon_id> candidates, std::size_t count);
    std::size_t randomBelow(std::size_t limit);

    membership_settings m_settings;
    member_table m_table;
    pcg32 m_random;
    monotonic_time m_now;
    monotonic_time m_startedAt;
    monotonic_time m_lastTick;
    monotonic_time m_lastProbe;
    monotonic_time m_lastReconnect;
    monotonic_time m_lastSync;
    std::uint64_t m_nextNumber = 1;
    unsigned m_probesSent = 0;
    std::size_t m_nextDigest = 0;
    bool m_superseded = false;
    bool m_gossipPending = false;
    token_bucket m_gossipRate;
    token_bucket m_tableRate;
    std::vector<daemon_id> m_localProbeOrder;
    std::map<std::uint64_t, pending_probe> m_pending;
    std::map<std::uint64_t, relayed_probe> m_relayed;
    /// When each suspect was first suspected.
    std::map<daemon_id, monotonic_time> m_suspectSince;
    std::vector<listed_host> m_listedHosts;
    std::vector<membership_action> m_actions;
};

} // namespace daisystile
