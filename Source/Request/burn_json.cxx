#include "burn_json.h"

#include <nlohmann/json.hpp>

namespace daisystile {

using json = nlohmann::ordered_json;

static double inMilliseconds(microseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

static json toJson(const burn_sums &sums, const service_objective &objective)
{
    return {
        {"answers", sums.answers},
        {"slow", sums.slow},
        {"refusals", sums.refusals},
        {"p50_ms", inMilliseconds(sums.latency.percentile(0.5))},
        {"p99_ms", inMilliseconds(sums.latency.percentile(0.99))},
        {"p999_ms", inMilliseconds(sums.latency.percentile(0.999))},
        {"coverage", sums.coverage()},
        {"extra_load", sums.extraLoad()},
        {"latency_burn", sums.latencyBurn(objective)},
        {"coverage_burn", sums.coverageBurn(objective)},
    };
}

static json toJson(const std::vector<burn_point> &points, const service_objective &objective)
{
    json list = json::array();
    for (const auto &point : points) {
        auto entry = toJson(point.sums, objective);
        entry["start"] = point.start;
        entry["length_s"] = point.lengthS;
        list.push_back(std::move(entry));
    }
    return list;
}

static const char *nameOf(burn_alert alert)
{
    switch (alert) {
    case burn_alert::none:
        return "none";
    case burn_alert::slow:
        return "slow";
    case burn_alert::fast:
        return "fast";
    }
    return "none";
}

static json toJson(const customer_burn &customer)
{
    json windows = json::array();
    for (const auto &window : customer.windows) {
        auto entry = toJson(window.sums, customer.objective);
        entry["window_s"] = window.lengthS;
        windows.push_back(std::move(entry));
    }
    const auto &objective = customer.objective;
    return {
        {"customer", customer.customer.value},
        {"alert", nameOf(customer.alert)},
        {"objective", {{"latency_ms", objective.latency.count()}, {"latency_share", objective.latencyShare}, {"coverage", objective.coverage}}},
        {"windows", windows},
        {"minutes", toJson(customer.minutes, objective)},
        {"ten_minutes", toJson(customer.tenMinutes, objective)},
    };
}

static json namesOf(const std::vector<daemon_id> &ids)
{
    json list = json::array();
    for (const auto &id : ids) {
        list.push_back(id.value);
    }
    return list;
}

std::string toJson(const burn_report &report)
{
    json customers = json::array();
    for (const auto &customer : report.customers) {
        customers.push_back(toJson(customer));
    }
    json changes = json::array();
    for (const auto &change : report.domainChanges) {
        changes.push_back({{"failure_domain", change.domain.value}, {"out", change.out}, {"at", change.at}});
    }
    const json whole {
        {"at", report.at},
        {"answered", namesOf(report.answered)},
        {"unanswered", namesOf(report.unanswered)},
        {"domain_changes", changes},
        {"customers", customers},
    };
    return whole.dump(1);
}

} // namespace daisystile
