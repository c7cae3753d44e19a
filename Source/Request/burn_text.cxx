#include "burn_text.h"

#include <ctime>
#include <iomanip>
#include <sstream>

namespace daisystile {

std::string toText(wall_seconds time)
{
    const auto epochSeconds = static_cast<std::time_t>(time);
    std::tm parts {};
    gmtime_r(&epochSeconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%d %H:%M UTC");
    return out.str();
}

std::string lengthText(std::uint32_t lengthS)
{
    constexpr std::uint32_t minuteS = 60;
    constexpr std::uint32_t hourS = 3600;
    return lengthS % hourS == 0 ? std::to_string(lengthS / hourS) + " h" : std::to_string(lengthS / minuteS) + " min";
}

static const char *warningOf(burn_alert alert)
{
    switch (alert) {
    case burn_alert::none:
        return "";
    case burn_alert::slow:
        return "  SLOW BURN (over 6 in 30 min and 6 h)";
    case burn_alert::fast:
        return "  FAST BURN (over 14.4 in 5 min and 1 h)";
    }
    return "";
}

static void windowToText(std::ostream &out, const burn_window &window, const service_objective &objective)
{
    const auto &sums = window.sums;
    const auto latency = [&](double share) {
        return static_cast<double>(sums.latency.percentile(share).count()) / 1000;
    };
    out << "  " << std::setw(6) << lengthText(window.lengthS) << std::setw(10) << sums.answers << std::fixed << std::setprecision(1) << std::setw(9)
        << latency(0.5) << std::setw(9) << latency(0.99) << std::setw(10) << latency(0.999) << std::setprecision(5) << std::setw(10) << sums.coverage()
        << std::setprecision(2) << std::setw(14) << sums.latencyBurn(objective) << std::setw(15) << sums.coverageBurn(objective) << std::setw(10)
        << 100 * sums.extraLoad() << " %";
    for (const auto &[reason, count] : sums.refusals) {
        out << "  " << reason << "=" << count;
    }
    out << "\n";
}

static void customerToText(std::ostream &out, const customer_burn &customer)
{
    const auto &objective = customer.objective;
    out << "\n" << customer.customer << warningOf(customer.alert) << "\n";
    out << "  objective: " << 100 * objective.latencyShare << " % within " << objective.latency.count() << " ms, coverage " << 100 * objective.coverage
        << " %\n";
    out << "  window   answers   p50 ms   p99 ms  p99.9 ms  coverage  latency burn  coverage burn  extra load  refused\n";
    for (const auto &window : customer.windows) {
        windowToText(out, window, objective);
    }
}

std::string toText(const burn_report &report)
{
    std::ostringstream out;
    out << "Service-level burn at " << toText(report.at) << ", from " << report.answered.size() << " daemon(s)\n";
    for (const auto &id : report.unanswered) {
        out << "NOT INCLUDED, no answer from: " << id << "\n";
    }
    for (const auto &change : report.domainChanges) {
        out << toText(change.at) << "  failure domain " << change.domain << (change.out ? " out" : " in") << "\n";
    }
    for (const auto &customer : report.customers) {
        std::ostringstream part;
        customerToText(part, customer);
        out << part.str();
    }
    if (report.customers.empty()) {
        out << "no requests in the last 6 h\n";
    }
    return out.str();
}

} // namespace daisystile
