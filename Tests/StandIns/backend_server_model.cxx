#include "backend_server_model.h"

#include <algorithm>

namespace daisystile {

backend_server_model::backend_server_model(standin_spec serverSpec, std::uint64_t seed)
    : spec(std::move(serverSpec)),
      m_random(seed)
{
}

bool backend_server_model::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>()(m_random) < probability;
}

static bool consumeOne(std::uint32_t &remaining)
{
    if (remaining == 0) {
        return false;
    }
    remaining -= 1;
    return true;
}

void backend_server_model::countReceived(monotonic_time now)
{
    counts.received += 1;
    if (m_mark) {
        counts.receivedAfterMark += 1;
        counts.lastAfterMarkMs = std::chrono::duration_cast<milliseconds>(now - *m_mark).count();
    }
}

std::optional<request_outcome> backend_server_model::rejection(const request_parameters &parameters)
{
    if (consumeOne(faults.resetBeforeNext)) {
        counts.resets += 1;
        return request_outcome::drops_before_run;
    }
    if (faults.draining) {
        return request_outcome::draining;
    }
    if (parameters.deadlineMs && *parameters.deadlineMs <= 0) {
        counts.pastDeadline += 1;
        return request_outcome::deadline_passed;
    }
    if (chance(faults.shedProbability)) {
        counts.shed += 1;
        return request_outcome::shed;
    }
    if (faults.answerNewest) {
        return std::nullopt;
    }
    const bool snapshotHeld = std::find(spec.snapshots.begin(), spec.snapshots.end(), parameters.snapshot) != spec.snapshots.end();
    if (!parameters.snapshot.empty() && !snapshotHeld) {
        counts.snapshotNotHeld += 1;
        return request_outcome::snapshot_not_held;
    }
    if (parameters.shard) {
        const auto held = spec.shards.find(parameters.mapVersion.value_or(spec.mapVersion));
        if (held == spec.shards.end() || !held->second.contains(*parameters.shard)) {
            counts.shardNotHere += 1;
            return request_outcome::shard_not_here;
        }
    }
    return std::nullopt;
}

request_outcome backend_server_model::acquireSlot(monotonic_time now)
{
    const bool isCold = cold(now);
    if (!isCold && m_running >= spec.slots && !collapsed(now)) {
        counts.shed += 1;
        return request_outcome::shed;
    }
    m_running += 1;
    counts.peakRunning = std::max(counts.peakRunning, m_running);
    if (isCold) {
        counts.peakRunningCold = std::max(counts.peakRunningCold, m_running);
    }
    if (isCold && m_running > faults.coldCapacity) {
        counts.overCapacityWhileCold += 1;
        counts.collapses += collapsed(now) ? 0 : 1;
        m_collapsedUntil = now + milliseconds {faults.collapseMs};
        m_coldUntil = m_collapsedUntil + milliseconds {faults.warmUpMs};
    }
    return collapsed(now) || faults.stalled ? request_outcome::hangs : request_outcome::runs;
}

response_plan backend_server_model::begin(const request_parameters &parameters, monotonic_time now)
{
    countReceived(now);
    if (const auto rejected = rejection(parameters)) {
        return {.outcome = *rejected};
    }
    response_plan plan {.outcome = acquireSlot(now)};
    if (plan.outcome == request_outcome::shed) {
        return plan;
    }
    counts.started += 1;
    if (parameters.hasCrashMarker) {
        counts.crashes += 1;
        plan.outcome = request_outcome::crashes;
        return plan;
    }
    const bool newest = faults.answerNewest || parameters.snapshot.empty();
    plan.snapshot = newest ? (spec.snapshots.empty() ? std::string() : spec.snapshots.back()) : parameters.snapshot;
    plan.mapVersion = faults.answerNewest ? spec.mapVersion : parameters.mapVersion.value_or(spec.mapVersion);
    plan.serviceMs = serviceTime(now);
    plan.addedLatencyMs = chance(faults.lateProbability) ? faults.lateMs : 0;
    plan.dropAfterRun = consumeOne(faults.resetAfterNext) || chance(faults.resetAfterProbability);
    plan.sendPreviousResponse = chance(faults.previousResponseProbability);
    counts.resets += plan.dropAfterRun ? 1 : 0;
    return plan;
}

double backend_server_model::serviceTime(monotonic_time now)
{
    const double factor = std::lognormal_distribution<>(0, spec.latencySigma)(m_random);
    return spec.latencyMs * factor * faults.stragglerFactor * (cold(now) ? faults.coldFactor : 1);
}

void backend_server_model::finishRequest()
{
    m_running -= std::min(m_running, 1U);
}

void backend_server_model::restart(monotonic_time now)
{
    m_running = 0;
    counts.restarts += 1;
    m_collapsedUntil = {};
    startWarmUp(now);
}

void backend_server_model::startWarmUp(monotonic_time now)
{
    m_coldUntil = now + milliseconds {faults.warmUpMs};
}

void backend_server_model::mark(monotonic_time now)
{
    m_mark = now;
    counts.receivedAfterMark = 0;
    counts.lastAfterMarkMs = -1;
}

bool backend_server_model::cold(monotonic_time now) const
{
    return now < m_coldUntil;
}

bool backend_server_model::collapsed(monotonic_time now) const
{
    return now < m_collapsedUntil;
}

std::uint32_t backend_server_model::running() const
{
    return m_running;
}

} // namespace daisystile
