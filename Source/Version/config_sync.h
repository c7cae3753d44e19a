#pragma once

#include "config_builder.h"
#include "member.h"
#include <platform/platform.h>

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <variant>
#include <vector>

namespace daisystile {

struct config_sync_settings
{
    milliseconds digestInterval {500};
    unsigned digestsToOwnDomain = 2;
    unsigned digestsToOtherDomains = 1;
    /// Digests sent immediately when a newer configuration was applied.
    unsigned changeDigestsToOwnDomain = 4;
    unsigned changeDigestsToOtherDomains = 2;
    /// Number of daemons in each failure domain that watch the platform for changes.
    std::size_t watchers = 2;
    milliseconds pullTimeout {1000};
    milliseconds initialRetryDelay {250};
    milliseconds maxRetryDelay {2000};
    /// A daemon that received no digest for this long reads the head from the platform, even if it is not a watcher.
    milliseconds digestTimeout {5000};
    /// How long a starting daemon waits for the platform before it accepts the configuration of its peers as the newest.
    milliseconds platformStartTimeout {2000};
    /// Number of ready peers whose digests a starting daemon needs if the platform is unreachable; all of them if the fleet
    /// has fewer.
    std::size_t minReadyPeers = 3;
    std::size_t maxUpdateBytes = 256 * 1024;
    std::size_t maxRecordsInFlight = 16;
};

/// Tells peers the number of the head that a daemon holds, and whether it is ready.
struct config_digest
{
    std::uint64_t number = 0;
    bool ready = false;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, ready);
    }
};

/// Requests all records that changed after a head number.
struct config_pull
{
    std::uint64_t since = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(since);
    }
};

struct config_change
{
    config_record record;
    std::uint64_t number = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(record, number);
    }
};

/// The newest records that changed after since, up to number. The number is lower than the sender's own if the records
/// do not fit into one update.
struct config_update
{
    std::uint64_t since = 0;
    std::uint64_t number = 0;
    std::vector<config_change> changes;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(since, number, changes);
    }
};

struct config_sync_tick
{
};
struct members_updated
{
    std::vector<member> members;
};
struct digest_received
{
    daemon_id from;
    config_digest digest;
};
struct pull_received
{
    daemon_id from;
    config_pull pull;
};
struct update_received
{
    daemon_id from;
    config_update update;
};
struct head_listed
{
    list_result result;
};
struct record_read
{
    config_object object;
    change_id change;
    read_result result;
};
struct watch_ended
{
    watch_result result;
};
/// A change was accepted by a request to this daemon.
struct change_accepted_here
{
    config_head head;
};
using config_sync_event = std::
    variant<config_sync_tick, members_updated, digest_received, pull_received, update_received, head_listed, record_read, watch_ended, change_accepted_here>;

struct send_digest
{
    daemon_id to;
    config_digest digest;
};
struct send_pull
{
    daemon_id to;
    config_pull pull;
};
struct send_update
{
    daemon_id to;
    config_update update;
};
struct list_head
{
};
struct read_record
{
    config_object object;
    change_id change;
};
struct watch_head
{
    store_revision after;
};
struct stop_watch
{
};
/// The records in force or the readiness changed.
struct config_changed
{
};
using config_sync_action = std::variant<send_digest, send_pull, send_update, list_head, read_record, watch_head, stop_watch, config_changed>;

/// Synchronizes the configuration of a daemon with the platform and, by gossip digests, with its peers, and decides when
/// the daemon is ready to serve. A newer configuration is never replaced by an older one.
class config_sync
{
public:
    config_sync(config_sync_settings settings, member self, std::uint64_t seed, monotonic_time now);

    std::vector<config_sync_action> decide(const config_sync_event &event, monotonic_time now);

    const config_records &records() const;
    /// The number of the newest head whose records are all held.
    std::uint64_t number() const;
    /// Returns true once the newest configuration is held; never becomes false again.
    bool ready() const;
    bool isWatcher() const;

private:
    void on(const config_sync_tick &event);
    void on(const members_updated &event);
    void on(const digest_received &event);
    void on(const pull_received &event);
    void on(const update_received &event);
    void on(const head_listed &event);
    void on(const record_read &event);
    void on(const watch_ended &event);
    void on(const change_accepted_here &event);

    void updateWatcherRole();
    void listHead();
    void scheduleRetry();
    void adoptHead(const config_head &head);
    void requestRecords();
    void applyPendingHead();
    void advance(std::uint64_t number);
    void updateReadiness();
    bool enoughReadyPeers() const;
    void sendDigests(unsigned toOwnDomain, unsigned toOtherDomains);
    void sendDigest(const daemon_id &to);
    std::vector<daemon_id> peersInDomain(bool sameDomain) const;

    config_sync_settings m_settings;
    member m_self;
    pcg32 m_random;
    monotonic_time m_now;
    monotonic_time m_startedAt;
    std::vector<member> m_members;

    std::uint64_t m_number = 0;
    std::map<config_object, head_entry> m_entries;
    config_records m_records;
    bool m_ready = false;

    /// A newer head of the platform that is applied once all of its records are fetched.
    std::optional<config_head> m_pendingHead;
    std::map<config_object, std::shared_ptr<const config_record>> m_fetchedRecords;
    std::set<config_object> m_recordsInFlight;

    bool m_isWatcher = false;
    bool m_watchInFlight = false;
    bool m_listInFlight = false;
    monotonic_time m_nextListAt;
    milliseconds m_retryDelay;
    /// The configuration is at least as new as a head that was read from the platform.
    bool m_platformHeadHeld = false;

    monotonic_time m_nextDigestAt;
    monotonic_time m_lastDigestAt;
    std::optional<monotonic_time> m_pullDeadline;
    std::map<daemon_id, std::uint64_t> m_readyPeerNumbers;
    std::vector<config_sync_action> m_actions;
};

} // namespace daisystile
