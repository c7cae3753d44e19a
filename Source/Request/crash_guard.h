#pragma once

#include <Connection/connection.h>

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace daisystile {

/// Servers of one shard that one request may take down before it is quarantined.
inline constexpr std::size_t mostCrashesPerShard = 2;
inline constexpr seconds quarantineTime {60};
/// A request that ran well needs no trial for so long.
inline constexpr seconds clearTime {60};

struct guard_tick
{
};

/// An operator ended the quarantine.
struct quarantine_lifted
{
    fingerprint request;
};

using guard_event = std::variant<guard_question, guard_tick, quarantine_lifted>;

/// Quarantine starts; all daemons are to know.
struct start_quarantine
{
    service_name service;
    fingerprint request;
};

using guard_action = std::variant<guard_answer, start_quarantine>;

/// One crashed run of a request.
struct crash_record
{
    shard_index shard;
    backend_server_id server;
};

/// What its keeper knows of one request.
struct guarded_request
{
    service_name service;
    monotonic_time clearUntil;
    monotonic_time quarantinedUntil;
    monotonic_time crashesCountUntil;
    /// The query that tries the request while all others wait.
    std::optional<guard_question> trial;
    monotonic_time trialEnds;
    std::vector<crash_record> crashes;
    std::vector<guard_question> waiting;
};

/// The requests that one daemon keeps watch over for its region.
struct guard_state
{
    std::map<fingerprint, guarded_request> requests;
    /// Oldest first; bounds the memory.
    std::deque<fingerprint> order;
    /// Requests that may have a trial under way.
    std::vector<fingerprint> onTrial;
};

/// Lets one query at a time try a request that is new or lost a server, and quarantines it at the second loss for one shard.
void decide(guard_state &state, const guard_event &event, monotonic_time now, std::vector<guard_action> &actions);

} // namespace daisystile
