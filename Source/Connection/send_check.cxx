#include "send_check.h"

namespace daisystile {

std::optional<attempt_failure> maySend(const send_conditions &conditions, monotonic_time now)
{
    if (!conditions.listed || now >= conditions.leaseUntil) {
        return attempt_failure::not_owner;
    }
    if (conditions.domainOut) {
        return attempt_failure::domain_out;
    }
    if (conditions.draining) {
        return attempt_failure::draining;
    }
    if (conditions.quarantined) {
        return attempt_failure::quarantined;
    }
    if (now >= conditions.deadline) {
        return attempt_failure::too_late;
    }
    if (conditions.running > conditions.allowed) {
        return attempt_failure::queue_full;
    }
    return std::nullopt;
}

} // namespace daisystile
