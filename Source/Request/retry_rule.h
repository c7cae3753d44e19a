#pragma once

#include <Connection/connection.h>

namespace daisystile {

/// What a failed attempt means for the next one.
enum class retry_rule {
    /// The server did no work, so another attempt adds none.
    free,
    from_budget,
    after_judgement,
    never,
};

/// The rule for an answer that brought no result.
retry_rule ruleFor(const shard_answer &answer);
/// How long a server is not chosen while another replica can be had; zero for failures that say nothing of it.
milliseconds avoidanceAfter(attempt_failure failure);

} // namespace daisystile
