#pragma once

#include <Route/route.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisystile {

/// What one daemon has counted for one order.
struct order_counts
{
    std::string order;
    /// The stage that the daemon applies.
    rollout_stage stage = rollout_stage::trial;
    /// Attempts that run on servers of the base version.
    std::uint64_t runningOnBase = 0;
    route_counts routes;

    bool operator==(const order_counts &) const = default;
};

/// All that one run of a daemon has counted.
struct daemon_counts
{
    daemon_id daemon;
    /// Differs for each run of the daemon.
    std::uint64_t run = 0;
    /// Rises with each report.
    std::uint64_t beat = 0;
    std::map<service_name, order_counts> orders;

    bool operator==(const daemon_counts &) const = default;
};

/// What a daemon that follows the store tells the others: its counts and those of its followers, and how long ago it saw each order.
struct counts_report
{
    std::map<service_name, milliseconds> elapsed;
    std::vector<daemon_counts> daemons;
};

std::string countsText(const daemon_counts &counts);
std::optional<daemon_counts> parseCounts(const std::string &text);
std::string reportText(const counts_report &report);
std::optional<counts_report> parseReport(const std::string &text);

} // namespace daisystile
