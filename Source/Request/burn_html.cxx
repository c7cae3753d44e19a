#include "burn_html.h"

#include "burn_plot.h"
#include "burn_text.h"

#include <iomanip>
#include <sstream>

namespace daisystile {

static constexpr const char *head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>Service-level burn</title><style>
:root{--ink:#1b1f24;--soft:#59636e;--line:#d1d9e0;--paper:#fff;--card:#f6f8fa;--a:#0550ae;--b:#bc4c00;--bad:#b42318;--good:#1a7f37}
@media(prefers-color-scheme:dark){:root{--ink:#e6edf3;--soft:#9198a1;--line:#3d444d;--paper:#0d1117;--card:#151b23;--a:#79c0ff;--b:#ffa657;--bad:#ff7b72;--good:#56d364}}
body{margin:0 auto;max-width:1200px;padding:16px;font:15px/1.45 system-ui,sans-serif;color:var(--ink);background:var(--paper)}
h1{font-size:1.4rem;margin:0 0 4px}h2{font-size:1.15rem;margin:0 0 4px;overflow-wrap:anywhere}p{margin:4px 0;color:var(--soft)}
section{border:1px solid var(--line);border-radius:8px;background:var(--card);padding:14px;margin:16px 0}
.alert{display:inline-block;border-radius:4px;padding:0 8px;font-weight:600;color:var(--paper);background:var(--bad)}
.alert.none{background:var(--good)}.alert.slow{background:var(--b)}.warn{color:var(--bad);font-weight:600}
.scroll{overflow-x:auto}table{border-collapse:collapse;font-variant-numeric:tabular-nums;margin:8px 0;min-width:100%}
th,td{text-align:right;padding:3px 10px;border-bottom:1px solid var(--line);white-space:nowrap}th{color:var(--soft);font-weight:500}
td:first-child,th:first-child,td.words{text-align:left}td.bad{color:var(--bad);font-weight:600}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(min(100%,340px),1fr));gap:12px}
figure{margin:0}figcaption{font-weight:600;font-size:.9rem}svg{width:100%;height:auto;display:block}
svg path{fill:none;stroke-width:2}svg path.a{stroke:var(--a)}svg path.b{stroke:var(--b)}circle.a{fill:var(--a)}circle.b{fill:var(--b)}
.grid{stroke:var(--line);stroke-width:.7}.axis,.mark{font-size:12px;fill:var(--soft)}.mark{fill:var(--ink)}
.objective{stroke:var(--soft);stroke-dasharray:5 4}.out{stroke:var(--bad);stroke-width:1.5}.in{stroke:var(--good);stroke-width:1.5}
.key{font-weight:400;margin-left:6px}.key.a{color:var(--a)}.key.b{color:var(--b)}.key:before{content:"\25CF "}
</style></head><body>
)";

static std::string number(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

static void cell(std::ostream &out, const std::string &text, bool bad = false)
{
    out << (bad ? "<td class='bad'>" : "<td>") << text << "</td>";
}

static std::string refusalsText(const burn_sums &sums)
{
    std::string text;
    for (const auto &[reason, count] : sums.refusals) {
        text += (text.empty() ? "" : ", ") + escapeHtml(reason) + " " + std::to_string(count);
    }
    return text.empty() ? "none" : text;
}

static void windowRow(std::ostream &out, const burn_window &window, const service_objective &objective)
{
    const auto &sums = window.sums;
    const auto latency = [&](double share) {
        return number(static_cast<double>(sums.latency.percentile(share).count()) / 1000, 1);
    };
    const double latencyBurn = sums.latencyBurn(objective);
    const double coverageBurn = sums.coverageBurn(objective);
    out << "<tr>";
    cell(out, lengthText(window.lengthS));
    cell(out, std::to_string(sums.answers));
    cell(out, latency(0.5));
    cell(out, latency(0.99), sums.latency.percentile(0.99) > objective.latency);
    cell(out, latency(0.999));
    cell(out, number(100 * sums.coverage(), 3) + " %", sums.coverage() < objective.coverage);
    cell(out, number(latencyBurn, 2), latencyBurn > 1);
    cell(out, number(coverageBurn, 2), coverageBurn > 1);
    cell(out, number(100 * sums.extraLoad(), 2) + " %");
    out << "<td class='words'>" << refusalsText(sums) << "</td></tr>";
}

static void windowTable(std::ostream &out, const customer_burn &customer)
{
    out << "<div class='scroll'><table><tr><th>window</th><th>answers</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>coverage</th>"
           "<th>latency burn</th><th>coverage burn</th><th>extra load</th><th>refused or failed</th></tr>";
    for (const auto &window : customer.windows) {
        windowRow(out, window, customer.objective);
    }
    out << "</table></div>";
}

static constexpr double maxLatencyMs = 1e9;
static constexpr double maxBurn = 1e6;

template<class Value> static std::vector<double> valuesOf(const std::vector<burn_point> &points, const Value &value)
{
    std::vector<double> values;
    values.reserve(points.size());
    for (const auto &point : points) {
        const bool empty = point.sums.answers == 0 && point.sums.refusals.empty();
        values.push_back(empty ? -1 : value(point.sums));
    }
    return values;
}

static plot latencyPlot(const customer_burn &customer, const std::vector<burn_point> &points)
{
    const auto percentile = [&](double share) {
        return valuesOf(points, [share](const burn_sums &sums) { return static_cast<double>(sums.latency.percentile(share).count()) / 1000; });
    };
    const auto objective = static_cast<double>(customer.objective.latency.count());
    return {"Latency", "ms", 0, objective * 1.1, maxLatencyMs, objective, {{"p50", "a", percentile(0.5)}, {"p99", "b", percentile(0.99)}}};
}

static plot coveragePlot(const customer_burn &customer, const std::vector<burn_point> &points)
{
    const auto coverage = valuesOf(points, [](const burn_sums &sums) { return 100 * sums.coverage(); });
    const double objective = 100 * customer.objective.coverage;
    return {"Coverage", "%", std::max(0.0, 100 - 2 * (100 - objective)), 100, 100, objective, {{"covered", "a", coverage}}};
}

static plot burnPlot(const customer_burn &customer, const std::vector<burn_point> &points)
{
    const auto latency = valuesOf(points, [&](const burn_sums &sums) { return sums.latencyBurn(customer.objective); });
    const auto coverage = valuesOf(points, [&](const burn_sums &sums) { return sums.coverageBurn(customer.objective); });
    return {"Burn", "times the budget", 0, 1.2, maxBurn, 1, {{"latency", "a", latency}, {"coverage", "b", coverage}}};
}

static void
drawPlots(std::ostream &out, const std::string &span, const customer_burn &customer, const std::vector<burn_point> &points, const burn_report &report)
{
    out << "<p>" << span << "</p><div class='plots'>" << drawPlot(latencyPlot(customer, points), points, report.domainChanges)
        << drawPlot(coveragePlot(customer, points), points, report.domainChanges) << drawPlot(burnPlot(customer, points), points, report.domainChanges)
        << "</div>";
}

static const char *alertText(burn_alert alert)
{
    switch (alert) {
    case burn_alert::none:
        return "<span class='alert none'>no alert</span>";
    case burn_alert::slow:
        return "<span class='alert slow'>slow burn</span>";
    case burn_alert::fast:
        return "<span class='alert fast'>fast burn</span>";
    }
    return "";
}

static void customerSection(std::ostream &out, const customer_burn &customer, const burn_report &report)
{
    const auto &objective = customer.objective;
    out << "<section><h2>" << escapeHtml(customer.customer.value) << " " << alertText(customer.alert)
        << "</h2><p>Objective: " << number(100 * objective.latencyShare, 2) << " % of answers within " << objective.latency.count() << " ms; coverage "
        << number(100 * objective.coverage, 2) << " %.</p>";
    windowTable(out, customer);
    drawPlots(out, "Last hour, by the minute", customer, customer.minutes, report);
    drawPlots(out, "Last six hours, by ten minutes", customer, customer.tenMinutes, report);
    out << "</section>";
}

std::string toHtml(const burn_report &report)
{
    std::ostringstream out;
    out << head << "<h1>Service-level burn</h1><p>" << toText(report.at) << ", merged from " << report.answered.size()
        << " daemon(s). A burn of 1 spends the error budget exactly; dashed lines are objectives.</p>";
    for (const auto &id : report.unanswered) {
        out << "<p class='warn'>Not included: no answer from " << escapeHtml(id.value) << ".</p>";
    }
    for (const auto &change : report.domainChanges) {
        out << "<p>" << toText(change.at) << ": failure domain " << escapeHtml(change.domain.value) << (change.out ? " out" : " in") << "</p>";
    }
    if (report.customers.empty()) {
        out << "<p>No requests in the last 6 h.</p>";
    }
    for (const auto &customer : report.customers) {
        customerSection(out, customer, report);
    }
    out << "</body></html>\n";
    return out.str();
}

} // namespace daisystile
