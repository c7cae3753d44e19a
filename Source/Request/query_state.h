#pragma once

#include "result_merge.h"
#include "serving_state.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// Attempts at one shard on one snapshot, hedges and retries included.
inline constexpr std::size_t mostAttemptsPerShard = 4;

struct attempt_state
{
    attempt_number number;
    server_number server;
    bool open = false;
    /// The server was not reached for lack of its owner and may be asked again.
    bool retriable = false;
    monotonic_time sentAt;
};

struct shard_state
{
    std::array<attempt_state, mostAttemptsPerShard> attempts;
    std::uint8_t attemptCount = 0;
    std::uint8_t openCount = 0;
    bool answered = false;
    /// Waits for crash_judged.
    bool crashPending = false;
    /// A server was lost while it ran the shard request.
    bool crashed = false;
    bool snapshotMissed = false;
    /// No attempt is left.
    bool exhausted = false;
    attempt_failure lastFailure = attempt_failure::none;
    attempt_number nextAttempt;
    std::string body;
    results_slice results;
};

enum class query_phase : std::uint8_t {
    /// One shard tries a request not seen lately, before the others get it.
    canary,
    fanned_out,
    finished,
};

/// Answers that did not count.
struct dropped_answers
{
    std::uint32_t late = 0;
    std::uint32_t foreign = 0;
    std::uint32_t mixed = 0;
};

struct snapshot_vote
{
    snapshot_id snapshot;
    std::uint32_t shards = 0;
};

/// One query from its start to its answer.
struct query_state
{
    query_reference query;
    /// Pinned together with the snapshot; its map version is the query's.
    std::shared_ptr<const service_index> index;
    snapshot_id snapshot;
    monotonic_time startedAt;
    /// The caller gets its answer by then.
    monotonic_time answerBy;
    double leastCoverage = 0;
    double extraLoadShare = 0;
    std::optional<shard_index> canary;

    query_phase phase = query_phase::fanned_out;
    std::vector<shard_state> shards;
    std::uint32_t answered = 0;
    /// Shards that still wait for something.
    std::uint32_t pending = 0;
    std::uint32_t extraAttempts = 0;
    std::uint32_t attempts = 0;
    std::vector<snapshot_vote> votes;
    bool restarted = false;
    bool quarantined = false;
    monotonic_time timerAt;
    dropped_answers dropped;
};

struct query_started
{
};

struct timer_fired
{
};

/// The link to an owner ended with these attempts under way.
struct peer_lost
{
    std::vector<shard_attempt> attempts;
    /// No byte of them left.
    bool neverSent = false;
};

/// Says whether a shard whose server was lost may be tried once more.
struct crash_judged
{
    shard_index shard;
    bool mayRetry = false;
    bool quarantined = false;
};

using query_event = std::variant<query_started, shard_answer, timer_fired, peer_lost, crash_judged>;

struct send_attempt
{
    shard_index shard;
    attempt_number attempt;
    server_number server;
};

struct cancel_attempt
{
    shard_index shard;
    attempt_number attempt;
    server_number server;
};

/// Replaces the query's timer.
struct set_timer
{
    monotonic_time at;
};

/// A server was lost while it ran the request.
struct report_crash
{
    shard_index shard;
    server_number server;
};

/// A shard that was on trial was answered, so the request is safe to run.
struct report_cleared
{
};

enum class query_outcome : std::uint8_t {
    complete,
    partial,
    too_little_coverage,
    quarantined,
};

struct answer_caller
{
    query_outcome outcome;
};

using query_action = std::variant<send_attempt, cancel_attempt, set_timer, report_crash, report_cleared, answer_caller>;
using query_actions = std::vector<query_action>;

/// Null when the shard has no attempt of that number.
attempt_state *attemptNumbered(shard_state &shard, attempt_number number);
/// Null when there is none, or it has ended.
attempt_state *openAttempt(query_state &state, shard_index shard, attempt_number number);

/// A shard's server holds another snapshot than the query's; counts once a shard.
void vote(query_state &state, shard_state &shard, const snapshot_id &held);
/// The snapshot most voted for; null without votes.
const snapshot_vote *mostHeld(const query_state &state);
/// The answer's outcome, from the shards that count.
query_outcome outcomeOf(const query_state &state);

/// The answer's results array, from the shards that count.
std::string mergeResults(const query_state &state);
/// Why a shard without answer is missing.
attempt_failure missingReason(const shard_state &shard);

} // namespace daisystile
