#include "load_report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace daisystile {

using json = nlohmann::ordered_json;

static double inMilliseconds(microseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

static double inSeconds(microseconds time)
{
    return static_cast<double>(time.count()) / 1e6;
}

static double coverageOf(const stream_statistics &statistics)
{
    return statistics.shards == 0 ? 1 : static_cast<double>(statistics.covered) / static_cast<double>(statistics.shards);
}

static json toJson(const latency_histogram &histogram)
{
    return {{"count", histogram.count()},
        {"mean", inMilliseconds(histogram.mean())},
        {"p50", inMilliseconds(histogram.percentile(0.5))},
        {"p90", inMilliseconds(histogram.percentile(0.9))},
        {"p99", inMilliseconds(histogram.percentile(0.99))},
        {"p999", inMilliseconds(histogram.percentile(0.999))},
        {"max", inMilliseconds(histogram.percentile(1))}};
}

static json toJson(const stream_statistics &statistics, microseconds span)
{
    json outcomes = json::object();
    for (std::size_t i = 0; i < answerKindCount; ++i) {
        outcomes[toString(static_cast<answer_kind>(i))] = statistics.kinds[i];
    }
    return {{"sent", statistics.count()},
        {"sent_per_s", static_cast<double>(statistics.count()) / std::max(inSeconds(span), 1e-6)},
        {"latency_ms", toJson(statistics.latency)},
        {"latency_of_all_ms", toJson(statistics.latencyOfAll)},
        {"send_lag_ms", toJson(statistics.sendLag)},
        {"shards", statistics.shards},
        {"covered", statistics.covered},
        {"coverage", coverageOf(statistics)},
        {"incoherent", statistics.incoherent},
        {"false_results", statistics.falseResults},
        {"missing", statistics.missingReasons},
        {"outcomes", outcomes}};
}

static json streamsToJson(const load_plan &plan, const std::vector<stream_statistics> &streams, microseconds span)
{
    json result = json::object();
    for (std::size_t i = 0; i < streams.size(); ++i) {
        result[plan.streams[i].name] = toJson(streams[i], span);
    }
    return result;
}

static json recordsToJson(const load_report &report)
{
    if (!report.records) {
        return nullptr;
    }
    const auto check = checkExecutes(report.statistics.keys, report.records->runsByKey);
    std::uint64_t received = 0;
    std::uint64_t maxReceived = 0;
    for (const auto &[server, count] : report.records->receivedByServer) {
        received += count;
        maxReceived = std::max(maxReceived, count);
    }
    const double servers = static_cast<double>(std::max<std::size_t>(report.records->receivedByServer.size(), 1));
    const double mean = static_cast<double>(received) / servers;
    return {{"received", received},
        {"received_by_server", report.records->receivedByServer},
        {"busiest_over_mean", mean > 0 ? static_cast<double>(maxReceived) / mean : 0},
        {"executes",
            {{"keys", check.keys},
                {"done", check.done},
                {"duplicates", check.duplicates},
                {"false_not_run", check.falseNotRun},
                {"false_done", check.falseDone}}}};
}

std::string toJson(const load_plan &plan, const load_report &report)
{
    json phases = json::object();
    for (std::size_t i = 0; i < plan.phases.size(); ++i) {
        phases[plan.phases[i].name] = streamsToJson(plan, report.statistics.phases[i], plan.phases[i].to - plan.phases[i].from);
    }
    json intervals = json::array();
    for (std::size_t i = 0; i < report.statistics.intervals.size(); ++i) {
        const auto from = plan.interval * static_cast<int>(i);
        intervals.push_back({{"from", inSeconds(from)}, {"streams", streamsToJson(plan, report.statistics.intervals[i], plan.interval)}});
    }
    json steps = json::array();
    for (const auto &step : report.steps) {
        steps.push_back({{"at", inSeconds(step.at)}, {"path", plan.steps[step.step].path}, {"status", step.status}});
    }
    const json document {{"seed", plan.seed}, {"phases", phases}, {"steps", steps}, {"backend_servers", recordsToJson(report)}, {"intervals", intervals}};
    return document.dump(1);
}

static void streamToText(std::ostream &out, const std::string &name, const stream_statistics &statistics, microseconds span)
{
    const auto &latency = statistics.latency;
    out << "  " << std::left << std::setw(20) << name << std::right << std::fixed << std::setprecision(1);
    out << std::setw(9) << static_cast<double>(statistics.count()) / std::max(inSeconds(span), 1e-6);
    out << std::setprecision(2);
    for (const double share : {0.5, 0.99, 0.999}) {
        out << std::setw(9) << inMilliseconds(latency.percentile(share));
    }
    out << std::setprecision(5) << std::setw(10) << coverageOf(statistics) << " ";
    for (std::size_t i = 0; i < answerKindCount; ++i) {
        if (statistics.kinds[i] != 0) {
            out << " " << toString(static_cast<answer_kind>(i)) << "=" << statistics.kinds[i];
        }
    }
    out << "\n";
}

static void recordsToText(std::ostream &out, const load_report &report)
{
    if (!report.records) {
        out << "records of the backend servers are unavailable\n";
        return;
    }
    const auto check = checkExecutes(report.statistics.keys, report.records->runsByKey);
    out << "executes: " << check.keys << " keys, " << check.done << " done, " << check.duplicates << " executed more than once, " << check.falseNotRun
        << " false not_run, " << check.falseDone << " false done\n";
}

std::string toText(const load_plan &plan, const load_report &report)
{
    std::ostringstream out;
    for (std::size_t i = 0; i < plan.phases.size(); ++i) {
        const auto &phase = plan.phases[i];
        out << phase.name << " (" << inSeconds(phase.from) << " s to " << inSeconds(phase.to) << " s)\n";
        out << "  stream                    req/s   p50 ms   p99 ms p99.9 ms  coverage\n";
        for (std::size_t j = 0; j < plan.streams.size(); ++j) {
            streamToText(out, plan.streams[j].name, report.statistics.phases[i][j], phase.to - phase.from);
        }
    }
    recordsToText(out, report);
    return out.str();
}

} // namespace daisystile
