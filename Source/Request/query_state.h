#pragma once

#include "result_merge.h"
#include "serving_state.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// Limit on the attempts for one shard on one snapshot, including hedges and retries.
inline constexpr std::size_t maxAttemptsPerShard = 4;

struct attempt_state
{
    attempt_number number;
    server_number server;
    bool open = false;
    /// The receiving daemon does not own the server, so the server was not reached and may be tried again.
    bool retriable = false;
    monotonic_time sentAt;
};

struct shard_state
{
    std::array<attempt_state, maxAttemptsPerShard> attempts;
    std::uint8_t attemptCount = 0;
    std::uint8_t openCount = 0;
    bool answered = false;
    /// The shard waits for a crash_verdict event.
    bool crashVerdictPending = false;
    /// A server was lost while it ran the request for this shard.
    bool crashed = false;
    bool snapshotMissed = false;
    /// No further attempts will be made.
    bool exhausted = false;
    attempt_failure lastFailure = attempt_failure::none;
    attempt_number nextAttempt;
    std::string body;
    results_slice results;
};

enum class query_phase : std::uint8_t {
    /// A request with no recent successful run is tried on one shard before it is sent to the others.
    canary,
    fanned_out,
    finished,
};

/// Number of answers that were ignored, by reason.
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

/// State of one query from its start to the answer to the caller.
struct query_state
{
    query_reference query;
    /// Pinned together with the snapshot; determines the shard map version of the query.
    std::shared_ptr<const service_index> index;
    snapshot_id snapshot;
    monotonic_time startedAt;
    /// Time by which the caller is answered.
    monotonic_time answerDeadline;
    double minCoverage = 0;
    double extraLoadShare = 0;
    std::optional<shard_index> canary;

    query_phase phase = query_phase::fanned_out;
    std::vector<shard_state> shards;
    std::uint32_t answered = 0;
    /// Shards that are neither answered nor exhausted.
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

/// The connection to an owner was lost while these attempts were in flight.
struct peer_lost
{
    std::vector<shard_attempt> attempts;
    /// The attempts were never sent.
    bool neverSent = false;
};

/// The verdict on a crash: whether a shard whose server was lost may be retried.
struct crash_verdict
{
    shard_index shard;
    bool mayRetry = false;
    bool quarantined = false;
};

using query_event = std::variant<query_started, shard_answer, timer_fired, peer_lost, crash_verdict>;

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

/// Sets the query's timer and replaces a pending one.
struct set_timer
{
    monotonic_time at;
};

/// Reports that a server was lost while it ran the request.
struct report_crash
{
    shard_index shard;
    server_number server;
};

/// Reports that the shard on trial answered, so the request is safe to run on all shards.
struct report_trial_passed
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

using query_action = std::variant<send_attempt, cancel_attempt, set_timer, report_crash, report_trial_passed, answer_caller>;
using query_actions = std::vector<query_action>;

/// Returns null if the shard has no attempt with this number.
attempt_state *attemptByNumber(shard_state &shard, attempt_number number);
/// Returns null if there is no such attempt or it has ended.
attempt_state *findOpenAttempt(query_state &state, shard_index shard, attempt_number number);

/// Records the snapshot that a shard's server holds if it differs from the query's. Each shard is counted once.
void voteForSnapshot(query_state &state, shard_state &shard, const snapshot_id &held);
/// Returns the snapshot reported by most shards, or null if none was reported.
const snapshot_vote *mostReportedSnapshot(const query_state &state);
/// Returns the outcome based on the shards answered so far.
query_outcome outcomeOf(const query_state &state);

/// Merges the results of all answered shards into one JSON array.
std::string mergeResults(const query_state &state);
/// Returns the reason why an unanswered shard is missing.
attempt_failure missingReason(const shard_state &shard);

} // namespace daisystile
