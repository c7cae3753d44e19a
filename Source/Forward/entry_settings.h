#pragma once

#include <Route/route.h>
#include <Version/version.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace daisystile {

/// Limits for the whole fleet, which its daemons share.
struct fleet_bounds
{
    /// Extra attempts that a service may get, as a ratio of the requests for it.
    double retryRatio = 0.2;
    /// Extra attempts beyond that ratio, in each window.
    double retrySlack = 50;
    /// Length of the sliding window.
    milliseconds retryWindow {10000};
    /// Requests that a cold backend server may get in a second: its configured rate times the factor, plus the slack.
    double coldFactor = 1.5;
    double coldSlack = 5;
    /// Requests that the servers of a new version may get until it is found good: this share of the requests for their service
    /// since the order, plus the slack. 0 if versions of servers are not told apart.
    double exposureShare = 0;
    double exposureSlack = 50;
    /// Time from the answer that shows a new version to be bad until it gets no more requests.
    milliseconds rollbackTime {5000};
    /// Whether a key must stop working within the revocation time also at daemons that hear of nothing.
    bool strictRevocation = false;
    milliseconds revocationTime {5000};
    /// Requests of a client account that may run in each window: its quota times 1 plus the overage, plus the slack.
    milliseconds quotaWindow {5000};
    double quotaOverage = 0.1;
    double quotaSlack = 20;
    /// Time from the confirmation of a configuration until it is in force everywhere.
    milliseconds configurationTime {5000};

    bool operator==(const fleet_bounds &) const = default;
};

/// How old a configuration may be to decide about keys, by the bounds; it was the newest one at that time.
configuration_age configurationAge(const fleet_bounds &bounds, std::optional<monotonic_time> newestAt);

/// Settings of a daemon with the plain HTTP front end.
struct entry_settings
{
    daemon_id id;
    /// Requests go to the servers of this domain first. Other daemons count only those that have one, so there is a default.
    failure_domain_name domain {"unknown"};
    /// Not used yet.
    region_name region;
    ip_address clients;
    ip_address readiness;
    /// Listening address for daemons that follow this one; port 0 without a host if none can.
    ip_address peers;
    /// Listening address for queries that other daemons delegate to this one; port 0 to take none.
    ip_address queries;
    /// Processor share of this daemon, in cores.
    double strength = 1;
    /// Memory that the process may use; 0 if it isn't known.
    std::uint64_t memoryBytes = 0;
    /// What may be held for clients; 0 to derive it from the memory.
    std::uint64_t clientMemoryBytes = 0;
    ip_address store;
    /// Whether the whole deployment is starting for the first time.
    bool bootstrap = false;
    /// Time from SIGTERM to the end of the process.
    milliseconds grace {6000};
    /// How long entries that lapsed during a store outage may take to be registered again.
    milliseconds lapseGrace {2500};
    /// Interval of possibly stale listings that detect a watch that misses changes.
    milliseconds staleCheck {2000};
    /// The same for the configuration, with listings that are never stale.
    milliseconds freshCheck {2500};
    /// Interval of small calls that detect whether the store is reachable; daemons that follow this one rely on the result.
    milliseconds reachCheck {500};
    /// SHA-256 of the token with which operators lift quarantines, in hexadecimal; empty if nobody may.
    std::string operatorTokenDigest;
    fleet_bounds bounds;

    bool operator==(const entry_settings &) const = default;
};

/// What the process may hold for clients, in bytes; 0 without a limit.
std::size_t clientMemoryBudget(const entry_settings &settings);

/// Reads a settings file in the customary forms (see reading_rules). Only id, clients, readiness and store must be right.
settings_reading<entry_settings> readEntrySettings(std::string_view text, std::string_view fileName);

/// The same for a check: unknown keys, wrong types and values out of range are errors.
parsed<entry_settings> parseEntrySettings(std::string_view text, std::string_view fileName);

} // namespace daisystile
