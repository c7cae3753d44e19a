#pragma once

#include "object_mirror.h"

#include <functional>
#include <string>

namespace daisystile {

/// How a runner detects a watch that misses changes: by listings of this freshness.
struct watch_verification
{
    milliseconds interval;
    read_freshness freshness;
};

/// Keeps one mirror up to date by calls to the store, or with updates that another daemon relays.
class mirror_runner
{
public:
    mirror_runner(reactor &loop,
        platform_client &store,
        std::string prefix,
        watch_verification verification,
        mirror_limits limits,
        std::function<void()> changed);

    const object_mirror &mirror() const;
    void setBatchDelay(milliseconds newDelay);

    /// Starts following the store with its own calls; the mirror keeps its objects.
    void follow();
    /// Stops its own calls to the store.
    void stopFollowing();
    bool following() const;

    /// Reads all objects once, also while not following the store.
    void reload();
    /// Applies an update that another daemon relayed.
    void takeRelayed(mirror_relayed update);

    /// Called when the store has compacted its history, so that other watches may have missed changes.
    void onHistoryLost(std::function<void()> callback);
    /// Called when the store becomes unreachable or reachable again.
    void onReachabilityChanged(std::function<void()> callback);
    /// Called when the objects are known as of another store revision, whether or not any of them has changed.
    void onRevisionChanged(std::function<void()> callback);
    /// Called when the objects are known to be what the store held when it was asked at this time.
    void onVerified(std::function<void(monotonic_time)> callback);

private:
    void step(const mirror_event &event);
    void perform(const mirror_action &action);
    void start(const watch_objects &watch);
    void start(const start_timer &wait);
    void start(const read_all_objects &);
    void start(const no_action &);
    void check();
    void dropLapsed();
    void endCalls();
    /// A listing that was asked for at this time has been applied.
    void listed(const list_result &result, monotonic_time askedAt);

    reactor &m_loop;
    watch_verification m_verification;
    platform_client &m_store;
    std::string m_prefix;
    object_mirror m_mirror;
    std::function<void()> m_changed;
    std::function<void()> m_historyLost = [] {
    };
    std::function<void()> m_reachabilityChanged = [] {
    };
    std::function<void()> m_revisionChanged = [] {
    };
    std::function<void(monotonic_time)> m_verified = [](monotonic_time) {
    };
    http_call_id m_watch = 0;
    std::uint64_t m_call = 0;
    timer_id m_checkTimer = 0;
    bool m_following = false;
    bool m_lapseTimer = false;
};

} // namespace daisystile
