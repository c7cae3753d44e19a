#pragma once

#include <Connection/connection.h>

namespace daisystile {

/// Condition for another attempt after a failed one.
enum class retry_rule {
    /// The server did no work, so another attempt adds no load.
    without_budget,
    from_budget,
    after_crash_verdict,
    never,
};

/// Returns the retry rule for an answer without a result.
retry_rule retryRuleFor(const shard_answer &answer);
/// Returns how long the server is avoided while another replica is available; zero for failures that are not related
/// to the server.
milliseconds avoidanceTime(attempt_failure failure);

} // namespace daisystile
