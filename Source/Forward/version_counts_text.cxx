#include "version_counts_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

using nlohmann::json;

namespace {

json toJson(const version_counts &counts)
{
    auto latencies = json::array();
    for (const auto &[bucket, count] : counts.latencies) {
        latencies.push_back({bucket, count});
    }
    return {counts.answers, counts.failures, std::move(latencies)};
}

// The readers throw json::exception on missing keys and wrong types.
version_counts readVersionCounts(const json &value)
{
    version_counts counts {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>(), {}};
    for (const auto &each : value.at(2)) {
        counts.latencies[each.at(0).get<unsigned>()] = each.at(1).get<std::uint64_t>();
    }
    return counts;
}

json toJson(const daemon_counts &counts)
{
    auto orders = json::object();
    for (const auto &[service, order] : counts.orders) {
        auto routes = json::object();
        for (const auto &[route, each] : order.routes) {
            routes[route.value] = {{"base", toJson(each.base)}, {"target", toJson(each.target)}};
        }
        orders[service.value] = {
            {"order", order.order}, {"stage", static_cast<unsigned>(order.stage)}, {"on_base", order.runningOnBase}, {"routes", std::move(routes)}};
    }
    return {{"daemon", counts.daemon.value}, {"run", counts.run}, {"beat", counts.beat}, {"orders", std::move(orders)}};
}

daemon_counts readDaemonCounts(const json &value)
{
    daemon_counts counts;
    counts.daemon.value = value.at("daemon").get<std::string>();
    counts.run = value.at("run").get<std::uint64_t>();
    counts.beat = value.at("beat").get<std::uint64_t>();
    for (const auto &[service, each] : value.at("orders").items()) {
        auto &order = counts.orders[{service}];
        order.order = each.at("order").get<std::string>();
        order.stage = static_cast<rollout_stage>(std::min(each.at("stage").get<unsigned>(), static_cast<unsigned>(rollout_stage::all)));
        order.runningOnBase = each.at("on_base").get<std::uint64_t>();
        for (const auto &[route, sides] : each.at("routes").items()) {
            order.routes[{route}] = {readVersionCounts(sides.at("base")), readVersionCounts(sides.at("target"))};
        }
    }
    return counts;
}

counts_report readReport(const json &value)
{
    counts_report report;
    for (const auto &[service, elapsed] : value.at("elapsed_ms").items()) {
        report.elapsed[{service}] = milliseconds {elapsed.get<std::uint32_t>()};
    }
    for (const auto &daemon : value.at("daemons")) {
        report.daemons.push_back(readDaemonCounts(daemon));
    }
    return report;
}

template<class Value> std::optional<Value> parsedBy(Value (*read)(const json &), const std::string &text)
{
    try {
        return read(parseForeignJson(text));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string countsText(const daemon_counts &counts)
{
    return toJson(counts).dump();
}

std::optional<daemon_counts> parseCounts(const std::string &text)
{
    return parsedBy(readDaemonCounts, text);
}

std::string reportText(const counts_report &report)
{
    auto elapsed = json::object();
    for (const auto &[service, time] : report.elapsed) {
        elapsed[service.value] = time.count();
    }
    auto daemons = json::array();
    for (const auto &daemon : report.daemons) {
        daemons.push_back(toJson(daemon));
    }
    return json {{"elapsed_ms", std::move(elapsed)}, {"daemons", std::move(daemons)}}.dump();
}

std::optional<counts_report> parseReport(const std::string &text)
{
    return parsedBy(readReport, text);
}

} // namespace daisystile
