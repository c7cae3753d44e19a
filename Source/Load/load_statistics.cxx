#include "load_statistics.h"

#include <numeric>

namespace daisystile {

static bool hasResult(answer_kind kind)
{
    return kind == answer_kind::complete || kind == answer_kind::partial || kind == answer_kind::done;
}

std::uint64_t stream_statistics::count() const
{
    return std::accumulate(kinds.begin(), kinds.end(), std::uint64_t {0});
}

void stream_statistics::merge(const stream_statistics &other)
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

load_statistics::load_statistics(const load_plan &plan)
    : phases(plan.phases.size(), std::vector<stream_statistics>(plan.streams.size()))
{
    if (plan.interval.count() > 0) {
        const auto count = static_cast<std::size_t>((plan.duration + plan.interval - microseconds {1}) / plan.interval);
        intervals.assign(count, std::vector<stream_statistics>(plan.streams.size()));
    }
}

static void recordAnswer(stream_statistics &statistics, microseconds lag, microseconds latency, const load_answer &answer)
{
    statistics.kinds[static_cast<std::size_t>(answer.kind)] += 1;
    statistics.sendLag.record(lag);
    statistics.latencyOfAll.record(latency);
    if (hasResult(answer.kind)) {
        statistics.latency.record(latency);
    }
    statistics.shards += answer.shards;
    statistics.covered += answer.covered;
    statistics.incoherent += answer.incoherent ? 1 : 0;
    statistics.falseResults += answer.falseResults;
    for (const auto &[reason, count] : answer.missingReasons) {
        statistics.missingReasons[reason] += count;
    }
}

void load_statistics::addAnswer(const load_plan &plan,
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
            recordAnswer(phases[i][request.stream], lag, latency, answer);
        }
    }
    if (!intervals.empty()) {
        const auto position = std::min(static_cast<std::size_t>(request.at / plan.interval), intervals.size() - 1);
        recordAnswer(intervals[position][request.stream], lag, latency, answer);
    }
    if (!key.empty()) {
        auto &outcomes = keys[key];
        outcomes.sent += 1;
        outcomes.done += answer.kind == answer_kind::done ? 1 : 0;
        outcomes.notRun += answer.kind == answer_kind::not_run ? 1 : 0;
    }
}

void load_statistics::merge(const load_statistics &other)
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
        auto &mergedOutcomes = keys[key];
        mergedOutcomes.sent += outcomes.sent;
        mergedOutcomes.done += outcomes.done;
        mergedOutcomes.notRun += outcomes.notRun;
    }
}

execute_check checkExecutes(const std::map<std::string, key_outcomes> &keys, const std::map<std::string, std::uint64_t> &runsByKey)
{
    execute_check check;
    for (const auto &[key, outcomes] : keys) {
        const auto found = runsByKey.find(key);
        const std::uint64_t runs = found == runsByKey.end() ? 0 : found->second;
        check.keys += 1;
        check.done += outcomes.done > 0 ? 1 : 0;
        check.duplicates += runs > 1 ? 1 : 0;
        check.falseNotRun += outcomes.notRun == outcomes.sent && runs > 0 ? 1 : 0;
        check.falseDone += outcomes.done > 0 && runs == 0 ? 1 : 0;
    }
    return check;
}

} // namespace daisystile
