#pragma once

#include "routing.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace daisystile {

/// Position of a part within its request: a shard of a query, or 0 of a request to one service.
using part_index = std::size_t;

enum class attempt_purpose {
    first,
    /// After an attempt that failed.
    retry,
    /// While another attempt still runs.
    hedge,
};

enum class attempt_end {
    answered,
    /// The server is known not to have run it.
    not_run,
    /// Nothing was sent, because no connection to the server could be made.
    unreached,
    /// It may have run.
    failed,
};

/// Limits of one request, fixed when it starts.
struct forward_limits
{
    retry_policy retryPolicy = retry_policy::at_most_once;
    std::size_t parts = 1;
    /// Minimum number of parts in an answer.
    std::size_t minParts = 1;
    /// Whether an answer with fewer parts is of use once no more can come; another daemon merges it with other parts.
    bool acceptsAny = false;
    /// Maximum number of servers that a part may run on.
    unsigned maxAttempts = 1;
    /// From this time on, an answer with at least minParts parts is sent at once.
    monotonic_time partialAnswerAt;
    /// At this time the request fails if it has fewer than minParts parts.
    monotonic_time timeoutAt;
    /// A part that is still queued at this time is lost, because its answer would come too late.
    monotonic_time latestStart = monotonic_time::max();
};

struct part_progress
{
    /// Attempts that a server may have run.
    unsigned runs = 0;
    /// Attempts that no server ran.
    unsigned refusals = 0;
    /// Attempts that reached no server.
    unsigned unreached = 0;
    unsigned running = 0;
    bool answered = false;
    bool lost = false;
    /// Queued until a server can take it.
    bool waiting = false;
    /// Time of the hedge; max() once it was sent or denied.
    monotonic_time hedgeAt = monotonic_time::max();
};

struct forward_state
{
    forward_limits terms;
    std::vector<part_progress> parts;
    std::size_t answered = 0;
    std::size_t lost = 0;
    bool ended = false;
};

struct forward_begun
{
};
/// An attempt was sent; it is hedged if it takes longer than the delay.
struct attempt_started
{
    part_index part;
    attempt_purpose purpose;
    milliseconds hedgeDelay;
};
/// No server can take the part now. A first attempt or retry is queued, a hedge is dropped.
struct no_server_available
{
    part_index part;
    attempt_purpose purpose;
};
/// The attempt was not allowed: the retry budget is used up, no untried server is left, or the deadline has passed.
struct attempt_denied
{
    part_index part;
    attempt_purpose purpose;
};
struct attempt_ended
{
    part_index part;
    attempt_end end;
};
/// A server may have capacity now for a queued part.
struct capacity_available
{
    part_index part;
};
struct timer_expired
{
};

using forward_event = std::variant<forward_begun, attempt_started, no_server_available, attempt_denied, attempt_ended, capacity_available, timer_expired>;

struct start_attempt
{
    part_index part;
    attempt_purpose purpose;
};
/// Answer with the parts that have answered.
struct answer_request
{
};
enum class forward_failure {
    /// No server has run it or will run it.
    not_run,
    /// A server may have run it and no answer came in time.
    timed_out,
    servers_failed,
};
struct fail_request
{
    forward_failure failure;
};

using forward_action = std::variant<start_attempt, answer_request, fail_request>;
using forward_actions = std::vector<forward_action>;

/// Updates the state and appends the resulting actions. answer_request or fail_request is the last action of a request.
void decide(forward_state &state, const forward_event &event, monotonic_time now, forward_actions &actions);

forward_state beginForward(const forward_limits &terms);

/// Time at which timer_expired must be delivered next.
monotonic_time nextTimer(const forward_state &state);

} // namespace daisystile
