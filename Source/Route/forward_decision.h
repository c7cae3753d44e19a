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
    /// It is proven that the server did not run it.
    not_run,
    /// It may have run.
    failed,
};

/// What holds for a request from its beginning.
struct forward_limits
{
    repeat_rule repeat = repeat_rule::at_most_once;
    std::size_t parts = 1;
    /// Least parts that make an answer.
    std::size_t minParts = 1;
    /// Most servers that a part may run on.
    unsigned mostAttempts = 1;
    /// From here on an answer with the least parts leaves at once.
    monotonic_time partialAnswerAt;
    /// From here on there is no answer worth waiting for.
    monotonic_time timeoutAt;
    /// A part that still waits for room then is lost: its answer would come too late.
    monotonic_time latestStart = monotonic_time::max();
};

struct part_progress
{
    /// Attempts that a server may have run.
    unsigned runs = 0;
    /// Attempts proven not run.
    unsigned refusals = 0;
    unsigned running = 0;
    bool answered = false;
    bool lost = false;
    /// Waits for a server that can take it.
    bool waiting = false;
    /// When a second attempt begins; none once it was made or denied.
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
/// An attempt is on its way; it is hedged if it takes longer than the delay.
struct attempt_started
{
    part_index part;
    attempt_purpose purpose;
    milliseconds hedgeDelay;
};
/// No server can take the part now; it waits for one.
struct no_server_available
{
    part_index part;
    attempt_purpose purpose;
};
/// The extra load allowed doesn't cover the attempt.
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
/// There may be room now for a part that waits.
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
/// Answer with the parts that are in.
struct answer_request
{
};
enum class forward_failure {
    /// Proven that no server has run it or will.
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

/// Changes the state and adds what is to be done. After answer_request or fail_request nothing more comes.
void decide(forward_state &state, const forward_event &event, monotonic_time now, forward_actions &actions);

forward_state beginForward(const forward_limits &terms);

/// When timer_expired is due next.
monotonic_time nextTimer(const forward_state &state);

} // namespace daisystile
