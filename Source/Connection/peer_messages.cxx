#include "peer_messages.h"

namespace daisystile {

const char *toString(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::none:
        return "none";
    case attempt_failure::snapshot_not_held:
        return "snapshot_not_held";
    case attempt_failure::shard_not_here:
        return "shard_not_here";
    case attempt_failure::shed:
        return "shed";
    case attempt_failure::queue_full:
        return "queue_full";
    case attempt_failure::too_late:
        return "too_late";
    case attempt_failure::not_owner:
        return "not_owner";
    case attempt_failure::server_lost:
        return "server_lost";
    case attempt_failure::timed_out:
        return "timed_out";
    case attempt_failure::draining:
        return "draining";
    case attempt_failure::domain_out:
        return "domain_out";
    case attempt_failure::quarantined:
        return "quarantined";
    case attempt_failure::cancelled:
        return "cancelled";
    case attempt_failure::malformed:
        return "malformed";
    case attempt_failure::peer_lost:
        return "peer_lost";
    case attempt_failure::platform_down:
        return "platform_down";
    case attempt_failure::key_reused:
        return "key_reused";
    }
    return "unknown";
}

} // namespace daisystile
