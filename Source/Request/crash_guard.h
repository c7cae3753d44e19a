#pragma once

#include <Connection/connection.h>

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace daisystile {

/// Number of servers of one shard that a request may crash before it is quarantined.
inline constexpr std::size_t maxCrashesPerShard = 2;
inline constexpr seconds quarantineDuration {60};
/// Time for which a request needs no trial after a successful run.
inline constexpr seconds clearDuration {60};

struct guard_tick
{
};

/// An operator lifted the quarantine.
struct quarantine_lifted
{
    fingerprint request;
};

using guard_event = std::variant<guard_question, guard_tick, quarantine_lifted>;

/// A quarantine starts and must be announced to all daemons.
struct start_quarantine
{
    service_name service;
    fingerprint request;
};

using guard_action = std::variant<guard_answer, start_quarantine>;

/// A server lost while it ran a request.
struct crash_record
{
    shard_index shard;
    backend_server_id server;
};

/// State of one request at its keeper, the daemon responsible for its record.
struct guarded_request
{
    service_name service;
    monotonic_time clearUntil;
    monotonic_time quarantinedUntil;
    monotonic_time crashesExpireAt;
    /// The query that runs the trial while all others wait.
    std::optional<guard_question> trial;
    monotonic_time trialEnds;
    std::vector<crash_record> crashes;
    std::vector<guard_question> waiting;
};

/// The request records kept by one daemon for its region.
struct guard_state
{
    std::map<fingerprint, guarded_request> requests;
    /// Requests ordered by age, used to evict the oldest records and bound the memory.
    std::deque<fingerprint> order;
    /// Requests that may have a trial in progress.
    std::vector<fingerprint> onTrial;
};

/// Allows one query at a time to try a request that is new or crashed a server, and quarantines the request when it
/// crashes a second server of the same shard.
void decide(guard_state &state, const guard_event &event, monotonic_time now, std::vector<guard_action> &actions);

} // namespace daisystile
