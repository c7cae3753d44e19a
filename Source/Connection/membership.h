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
    /// How long a probe may take before others are asked to probe as well.
    milliseconds directTimeout {300};
    milliseconds indirectTimeout {500};
    unsigned indirectProbes = 3;
    /// How long a suspect member of this daemon's own failure domain has to contradict.
    milliseconds suspicionInside {1500};
    /// The same for members of other failure domains, which hear of it later.
    milliseconds suspicionOutside {2500};
    /// One probe in so many goes to another failure domain.
    unsigned outsideEvery = 3;
    /// How often a dead member or a listed host that isn't known is tried.
    milliseconds reconnectInterval {1000};
    milliseconds exchangeInterval {2000};
    std::size_t updatesPerDatagram = 6;
    /// Members told at once of news.
    unsigned newsFanout = 3;
    /// News datagrams a second, whatever the fleet's size.
    double newsPerSecond = 10;
    /// Datagrams a second that describe whole failure domains to others.
    double partsPerSecond = 40;
    /// How long a starting daemon may still take a larger life than one already seen.
    milliseconds joinTime {3000};
};

/// A host on the platform's list, which lags.
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

/// Another part of this daemon has not heard from a member when it should have.
struct member_missed
{
    daemon_id id;
};

struct leave_started
{
};

/// The last message of a daemon that exits.
struct leave_finished
{
};

using membership_event = std::variant<membership_tick, datagram_received, hosts_listed, member_missed, leave_started, leave_finished>;

struct send_datagram
{
    ip_address to;
    control_datagram datagram;
};

/// The members or their states are no longer what they were.
struct members_changed
{
};

/// A later life of this daemon's own id is running; this one must stop.
struct life_superseded
{
    incarnation by;
};

using membership_action = std::variant<send_datagram, members_changed, life_superseded>;

/// Limits how often something may be done.
struct rate_allowance
{
    double left = 0;
    monotonic_time filled;

    bool take(double perSecond, monotonic_time now);
};

/// Decides who is alive, by probes, suspicion and gossip. Pure: time comes with each event, chance from the seed.
class membership
{
public:
    membership(membership_settings settings, member self, std::uint64_t seed, monotonic_time now);

    std::vector<membership_action> decide(const membership_event &event, monotonic_time now);

    /// All members but the dead, this daemon included, in order of their ids.
    std::vector<member> members() const;
    const member_table &table() const;

private:
    struct pending_probe
    {
        daemon_id target;
        incarnation life;
        monotonic_time sentAt;
        bool indirect = false;
    };

    /// A probe made for another daemon.
    struct relayed_probe
    {
        daemon_id origin;
        std::uint64_t number = 0;
        monotonic_time sentAt;
    };

    void on(const membership_tick &event);
    void on(const datagram_received &event);
    void on(const hosts_listed &event);
    void on(const member_missed &event);
    void on(const leave_started &event);
    void on(const leave_finished &event);

    void onMessage(const datagram_received &event, const probe &message);
    void onMessage(const datagram_received &event, const probe_answer &message);
    void onMessage(const datagram_received &event, const indirect_probe &message);
    void onMessage(const datagram_received &event, const table_request &message);
    template<class Other> void onMessage(const datagram_received &, const Other &)
    {
    }

    void forgiveOwnPause();
    void probeNext();
    void startProbe(const daemon_id &target);
    std::optional<daemon_id> nextTarget();
    void checkProbes();
    void askOthersToProbe(std::uint64_t number, const pending_probe &pending);
    void suspect(const daemon_id &id, incarnation life);
    void checkSuspects();
    void reconnect();
    void takeUpdate(const member_update &told);
    member_update softened(const member_update &update) const;
    milliseconds suspicionOf(const member &other) const;
    void contradict(const member_update &update);
    void compareDigests(const datagram_received &event);
    void spreadNews();
    void sendTo(const daemon_id &id, control_message message);
    void reply(const datagram_received &event, control_message message);
    std::vector<member_update> updatesFor(const daemon_id &id) const;
    void sendTo(const ip_address &address, control_message message, std::vector<member_update> updates);
    control_datagram compose(control_message message, std::vector<member_update> updates);
    void changeSelf(member_state state);
    bool isInside(const member &other) const;
    std::vector<daemon_id> chooseSome(std::vector<daemon_id> candidates, std::size_t count);
    std::size_t randomBelow(std::size_t limit);

    membership_settings m_settings;
    member_table m_table;
    pcg32 m_random;
    monotonic_time m_now;
    monotonic_time m_startedAt;
    monotonic_time m_lastTick;
    monotonic_time m_lastProbe;
    monotonic_time m_lastReconnect;
    monotonic_time m_lastExchange;
    std::uint64_t m_nextNumber = 1;
    unsigned m_probesSent = 0;
    std::size_t m_nextDigest = 0;
    bool m_superseded = false;
    bool m_newsWaiting = false;
    rate_allowance m_news;
    rate_allowance m_parts;
    std::vector<daemon_id> m_insideOrder;
    std::map<std::uint64_t, pending_probe> m_pending;
    std::map<std::uint64_t, relayed_probe> m_relayed;
    /// Since when each suspect has been one.
    std::map<daemon_id, monotonic_time> m_suspects;
    std::vector<listed_host> m_listed;
    std::vector<membership_action> m_actions;
};

} // namespace daisystile
