#include "load_figures.h"

#include <numeric>

namespace daisystile {

static bool hasResult(answer_kind kind)
{
    return kind == answer_kind::complete || kind == answer_kind::partial || kind == answer_kind::done;
}

std::uint64_t stream_figures::count() const
{
    return std::accumulate(kinds.begin(), kinds.end(), std::uint64_t {0});
}

void stream_figures::merge(const stream_figures &other)
{
    latency.merge(other.latency);
    latencyOfAll.merge(other.latencyOfAll);
    sendLag.merge(other.sendLag);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        kinds[i] += other.kinds[i];
    }
    shards += other.shards;
    covered += other.covered;
    incoherent += other.incoherent;
    falseResults += other.falseResults;
    for (const auto &[reason, count] : other.missingReasons) {
        missingReasons[reason] += count;
    }
}

load_figures::load_figures(const load_plan &plan)
    : phases(plan.phases.size(), std::vector<stream_figures>(plan.streams.size()))
{
    if (plan.interval.count() > 0) {
        const auto count = static_cast<std::size_t>((plan.duration + plan.interval - microseconds {1}) / plan.interval);
        intervals.assign(count, std::vector<stream_figures>(plan.streams.size()));
    }
}

static void takeInto(stream_figures &figures, microseconds lag, microseconds latency, const load_answer &answer)
{
    figures.kinds[static_cast<std::size_t>(answer.kind)] += 1;
    figures.sendLag.record(lag);
    figures.latencyOfAll.record(latency);
    if (hasResult(answer.kind)) {
        figures.latency.record(latency);
    }
    figures.shards += answer.shards;
    figures.covered += answer.covered;
    figures.incoherent += answer.incoherent ? 1 : 0;
    figures.falseResults += answer.falseResults;
    for (const auto &[reason, count] : answer.missingReasons) {
        figures.missingReasons[reason] += count;
    }
}

void load_figures::take(const load_plan &plan,
    const arrival &request,
    const std::string &key,
    microseconds sentAt,
    microseconds answeredAt,
    const load_answer &answer)
{
    const auto lag = sentAt - request.at;
    const auto latency = answeredAt - request.at;
    for (std::size_t i = 0; i < phases.size(); ++i) {
        if (request.at >= plan.phases[i].from && request.at < plan.phases[i].to) {
            takeInto(phases[i][request.stream], lag, latency, answer);
        }
    }
    if (!intervals.empty()) {
        const auto position = std::min(static_cast<std::size_t>(request.at / plan.interval), intervals.size() - 1);
        takeInto(intervals[position][request.stream], lag, latency, answer);
    }
    if (!key.empty()) {
        auto &outcomes = keys[key];
        outcomes.sent += 1;
        outcomes.done += answer.kind == answer_kind::done ? 1 : 0;
        outcomes.notRun += answer.kind == answer_kind::not_run ? 1 : 0;
    }
}

void load_figures::merge(const load_figures &other)
{
    for (std::size_t i = 0; i < phases.size(); ++i) {
        for (std::size_t j = 0; j < phases[i].size(); ++j) {
            phases[i][j].merge(other.phases[i][j]);
        }
    }
    for (std::size_t i = 0; i < intervals.size(); ++i) {
        for (std::size_t j = 0; j < intervals[i].size(); ++j) {
            intervals[i][j].merge(other.intervals[i][j]);
        }
    }
    for (const auto &[key, outcomes] : other.keys) {
        auto &mine = keys[key];
        mine.sent += outcomes.sent;
        mine.done += outcomes.done;
        mine.notRun += outcomes.notRun;
    }
}

execute_verdict judgeExecutes(const std::map<std::string, key_outcomes> &keys, const std::map<std::string, std::uint64_t> &runsByKey)
{
    execute_verdict verdict;
    for (const auto &[key, outcomes] : keys) {
        const auto found = runsByKey.find(key);
        const std::uint64_t runs = found == runsByKey.end() ? 0 : found->second;
        verdict.keys += 1;
        verdict.done += outcomes.done > 0 ? 1 : 0;
        verdict.duplicates += runs > 1 ? 1 : 0;
        verdict.falseNotRun += outcomes.notRun == outcomes.sent && runs > 0 ? 1 : 0;
        verdict.falseDone += outcomes.done > 0 && runs == 0 ? 1 : 0;
    }
    return verdict;
}

} // namespace daisystile
