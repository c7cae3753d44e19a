#include "rollout_judge.h"

#include <algorithm>
#include <array>

namespace daisystile {

namespace {

constexpr double trialTime = 0.5;
// An order for a service with few requests goes on with fewer answers.
constexpr double maxTrialTime = 0.6;
constexpr std::uint64_t minAnswers = 20;
constexpr double maxSettleTime = 0.85;
constexpr milliseconds minSettleTime {2000};
constexpr std::array<milliseconds, 2> windows {milliseconds {5000}, milliseconds {20000}};

bool passed(const rollout_inputs &inputs, double part)
{
    return inputs.elapsed >= std::chrono::duration_cast<milliseconds>(inputs.duration * part);
}

} // namespace

rollout_judge::rollout_judge(double exposureShare)
    : m_exposureShare(exposureShare)
{
}

std::optional<rollout_change> rollout_judge::decide(const rollout_inputs &inputs, monotonic_time now)
{
    if (inputs.status.verdict != rollout_verdict::running) {
        return std::nullopt;
    }
    m_past.push_back({now, inputs.counts});
    while (now - m_past.front().at > windows.back() * 2) {
        m_past.pop_front();
    }
    m_allSince = inputs.status.stage == rollout_stage::all ? std::optional(m_allSince.value_or(now)) : std::nullopt;
    rollout_change change {inputs.status, fault(inputs.counts, now)};
    if (change.fault) {
        change.status.verdict = rollout_verdict::rolled_back;
        return change;
    }
    if (inputs.status.stage == rollout_stage::all) {
        change.status.verdict = rollout_verdict::succeeded;
        return mayEnd(inputs, now) ? std::optional(change) : std::nullopt;
    }
    change.status.stage = inputs.status.stage == rollout_stage::trial ? rollout_stage::half : rollout_stage::all;
    return mayAdvance(inputs) ? std::optional(change) : std::nullopt;
}

// Good answers of the beginning would hide a fault that shows later.
std::optional<version_fault> rollout_judge::fault(const route_counts &counts, monotonic_time now) const
{
    if (auto shown = faultShown(counts)) {
        return shown;
    }
    for (const auto window : windows) {
        const auto after = std::find_if(m_past.rbegin(), m_past.rend(), [&](const auto &past) { return now - past.at >= window; });
        if (after == m_past.rend()) {
            continue;
        }
        if (auto shown = faultShown(since(counts, after->counts))) {
            return shown;
        }
    }
    return std::nullopt;
}

bool rollout_judge::mayAdvance(const rollout_inputs &inputs) const
{
    if (!inputs.targetServes) {
        return false;
    }
    if (inputs.status.stage == rollout_stage::half) {
        return passed(inputs, trialTime + rolloutShares(m_exposureShare).halfTime);
    }
    return passed(inputs, maxTrialTime) || (passed(inputs, trialTime) && sumOf(inputs.counts).target.answers >= minAnswers);
}

bool rollout_judge::mayEnd(const rollout_inputs &inputs, monotonic_time now) const
{
    if (!inputs.targetServes || !m_allSince || now - *m_allSince < minSettleTime) {
        return false;
    }
    return inputs.settledDaemons >= inputs.daemons || passed(inputs, maxSettleTime);
}

} // namespace daisystile
