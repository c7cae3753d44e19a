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

static bool takeOne(std::uint32_t &left)
{
    if (left == 0) {
        return false;
    }
    left -= 1;
    return true;
}

void backend_server_model::noteArrival(monotonic_time now)
{
    counts.received += 1;
    if (m_mark) {
        counts.receivedAfterMark += 1;
        counts.lastAfterMarkMs = std::chrono::duration_cast<milliseconds>(now - *m_mark).count();
    }
}

std::optional<work_verdict> backend_server_model::refusal(const standin_work &work)
{
    if (takeOne(faults.resetBeforeNext)) {
        counts.resets += 1;
        return work_verdict::drops_before;
    }
    if (faults.draining) {
        return work_verdict::draining;
    }
    if (work.deadlineMs && *work.deadlineMs <= 0) {
        counts.pastDeadline += 1;
        return work_verdict::too_late;
    }
    if (chance(faults.shedProbability)) {
        counts.shed += 1;
        return work_verdict::shed;
    }
    if (faults.answerNewest) {
        return std::nullopt;
    }
    const bool snapshotHeld = std::find(spec.snapshots.begin(), spec.snapshots.end(), work.snapshot) != spec.snapshots.end();
    if (!work.snapshot.empty() && !snapshotHeld) {
        counts.snapshotNotHeld += 1;
        return work_verdict::snapshot_not_held;
    }
    if (work.shard) {
        const auto held = spec.shards.find(work.mapVersion.value_or(spec.mapVersion));
        if (held == spec.shards.end() || !held->second.contains(*work.shard)) {
            counts.shardNotHere += 1;
            return work_verdict::shard_not_here;
        }
    }
    return std::nullopt;
}

work_verdict backend_server_model::occupy(monotonic_time now)
{
    const bool isCold = cold(now);
    if (!isCold && m_running >= spec.slots && !collapsed(now)) {
        counts.shed += 1;
        return work_verdict::shed;
    }
    m_running += 1;
    counts.mostRunning = std::max(counts.mostRunning, m_running);
    if (isCold) {
        counts.mostRunningCold = std::max(counts.mostRunningCold, m_running);
    }
    if (isCold && m_running > faults.coldCapacity) {
        counts.overCapacityWhileCold += 1;
        counts.collapses += collapsed(now) ? 0 : 1;
        m_collapsedUntil = now + milliseconds {faults.collapseMs};
        m_coldUntil = m_collapsedUntil + milliseconds {faults.warmUpMs};
    }
    return collapsed(now) || faults.stalled ? work_verdict::hangs : work_verdict::runs;
}

work_plan backend_server_model::begin(const standin_work &work, monotonic_time now)
{
    noteArrival(now);
    if (const auto refused = refusal(work)) {
        return {.verdict = *refused};
    }
    work_plan plan {.verdict = occupy(now)};
    if (plan.verdict == work_verdict::shed) {
        return plan;
    }
    counts.started += 1;
    if (work.marked) {
        counts.crashes += 1;
        plan.verdict = work_verdict::crashes;
        return plan;
    }
    const bool newest = faults.answerNewest || work.snapshot.empty();
    plan.snapshot = newest ? (spec.snapshots.empty() ? std::string() : spec.snapshots.back()) : work.snapshot;
    plan.mapVersion = faults.answerNewest ? spec.mapVersion : work.mapVersion.value_or(spec.mapVersion);
    plan.serviceMs = serviceTime(now);
    plan.extraMs = chance(faults.lateProbability) ? faults.lateMs : 0;
    plan.dropAfter = takeOne(faults.resetAfterNext) || chance(faults.resetAfterProbability);
    plan.foreign = chance(faults.foreignProbability);
    counts.resets += plan.dropAfter ? 1 : 0;
    return plan;
}

double backend_server_model::serviceTime(monotonic_time now)
{
    const double factor = std::lognormal_distribution<>(0, spec.latencySigma)(m_random);
    return spec.latencyMs * factor * faults.straggler * (cold(now) ? faults.coldFactor : 1);
}

void backend_server_model::ended()
{
    m_running -= std::min(m_running, 1U);
}

void backend_server_model::restarted(monotonic_time now)
{
    m_running = 0;
    counts.restarts += 1;
    m_collapsedUntil = {};
    turnCold(now);
}

void backend_server_model::turnCold(monotonic_time now)
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
