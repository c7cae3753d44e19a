#include "retry_rule.h"

namespace daisystile {

static constexpr milliseconds avoidAfterDrain {3000};
static constexpr milliseconds avoidAfterLoss {1000};
static constexpr milliseconds avoidAfterShed {50};
// While a server moves to another owner, its shards are sent to other replicas.
static constexpr milliseconds avoidWhileMoving {100};

retry_rule retryRuleFor(const shard_answer &answer)
{
    switch (answer.failure) {
    case attempt_failure::snapshot_not_held:
    case attempt_failure::shard_not_here:
    case attempt_failure::not_owner:
    case attempt_failure::draining:
    case attempt_failure::domain_out:
        return retry_rule::without_budget;
    case attempt_failure::server_lost:
        // A server that could not be reached did not crash because of this request.
        return answer.outcome == run_outcome::not_run ? retry_rule::without_budget : retry_rule::after_crash_verdict;
    case attempt_failure::quarantined:
    case attempt_failure::cancelled:
    case attempt_failure::platform_down:
    case attempt_failure::key_reused:
        return retry_rule::never;
    case attempt_failure::none:
    case attempt_failure::shed:
    case attempt_failure::queue_full:
    case attempt_failure::too_late:
    case attempt_failure::timed_out:
    case attempt_failure::malformed:
    case attempt_failure::peer_lost:
        return retry_rule::from_budget;
    }
    return retry_rule::never;
}

milliseconds avoidanceTime(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::draining:
    case attempt_failure::domain_out:
        return avoidAfterDrain;
    case attempt_failure::server_lost:
    case attempt_failure::peer_lost:
        return avoidAfterLoss;
    case attempt_failure::shed:
        return avoidAfterShed;
    case attempt_failure::not_owner:
        return avoidWhileMoving;
    default:
        return milliseconds {0};
    }
}

} // namespace daisystile
