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

struct spread_settings
{
    milliseconds digestInterval {500};
    unsigned digestsInside = 2;
    unsigned digestsOutside = 1;
    /// Members told at once when something new was learned.
    unsigned newsInside = 4;
    unsigned newsOutside = 2;
    /// Daemons of each failure domain that watch the platform.
    std::size_t watchers = 2;
    milliseconds pullTimeout {1000};
    milliseconds firstRetry {250};
    milliseconds longestRetry {2000};
    /// Without any digest for so long, a daemon that does not watch reads the platform itself.
    milliseconds silence {5000};
    /// How long a starting daemon waits for the platform before peers are enough.
    milliseconds platformPatience {2000};
    /// Peers that a starting daemon has to hear when the platform can't be reached; all, where there are fewer.
    std::size_t peersToStart = 3;
    std::size_t updateBytes = 256 * 1024;
    std::size_t recordsInFlight = 16;
};

/// How new a daemon's configuration is.
struct config_digest
{
    std::uint64_t number = 0;
    bool ready = false;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, ready);
    }
};

/// Asks for all that changed after a number.
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

/// The newest records that changed after since, up to number, which is short of the sender's own when they are many.
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

struct spread_tick
{
};
struct members_told
{
    std::vector<member> members;
};
struct digest_heard
{
    daemon_id from;
    config_digest digest;
};
struct pull_heard
{
    daemon_id from;
    config_pull pull;
};
struct update_heard
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
/// A change was accepted through this daemon.
struct change_made
{
    config_head head;
};
using spread_event = std::variant<spread_tick, members_told, digest_heard, pull_heard, update_heard, head_listed, record_read, watch_ended, change_made>;

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
    std::uint64_t after = 0;
};
struct stop_watch
{
};
/// The records in force or the readiness are no longer what they were.
struct config_changed
{
};
using spread_action = std::variant<send_digest, send_pull, send_update, list_head, read_record, watch_head, stop_watch, config_changed>;

/// Decides how configuration is learned from the platform and from peers, and when a daemon may serve.
/// Nothing older ever takes the place of something newer.
class config_spread
{
public:
    config_spread(spread_settings settings, member self, std::uint64_t seed, monotonic_time now);

    std::vector<spread_action> decide(const spread_event &event, monotonic_time now);

    const config_records &records() const;
    /// Number of the newest head whose records are all held.
    std::uint64_t number() const;
    /// True once the newest is known; stays true.
    bool ready() const;
    bool watches() const;

private:
    void on(const spread_tick &event);
    void on(const members_told &event);
    void on(const digest_heard &event);
    void on(const pull_heard &event);
    void on(const update_heard &event);
    void on(const head_listed &event);
    void on(const record_read &event);
    void on(const watch_ended &event);
    void on(const change_made &event);

    void chooseWatcher();
    void readPlatform();
    void platformFailed();
    void takeHead(const config_head &head);
    void requestRecords();
    void completeTarget();
    void advance(std::uint64_t number);
    void checkReady();
    bool enoughPeers() const;
    void tellSome(unsigned inside, unsigned outside);
    void tell(const daemon_id &to);
    std::vector<daemon_id> othersWhere(bool inside) const;

    spread_settings m_settings;
    member m_self;
    pcg32 m_random;
    monotonic_time m_now;
    monotonic_time m_startedAt;
    std::vector<member> m_members;

    std::uint64_t m_number = 0;
    std::map<config_object, head_entry> m_entries;
    config_records m_records;
    bool m_ready = false;

    /// A newer head of the platform, with the records that are still missing.
    std::optional<config_head> m_target;
    std::map<config_object, std::shared_ptr<const config_record>> m_fetched;
    std::set<config_object> m_reading;

    bool m_watcher = false;
    bool m_watching = false;
    bool m_listing = false;
    monotonic_time m_nextRead;
    milliseconds m_retry;
    /// The platform named a head that is held now.
    bool m_platformSeen = false;

    monotonic_time m_nextDigest;
    monotonic_time m_lastHeard;
    std::optional<monotonic_time> m_pullUntil;
    std::map<daemon_id, std::uint64_t> m_heardReady;
    std::vector<spread_action> m_actions;
};

} // namespace daisystile
