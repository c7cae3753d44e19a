#pragma once

#include <Version/version.h>

#include <string_view>

namespace daisystile {

/// Bounds that hold for all daemons of the fleet together.
struct fleet_bounds
{
    /// Extra attempts that a service may get, as a share of the requests for it.
    double retryRatio = 0.2;
    /// Extra attempts beyond that share, in each window.
    double retrySlack = 50;
    /// Any span of this length is a window.
    milliseconds retryWindow {10000};
    /// Requests that a cold backend server may get in a second: its rate times the factor, plus the slack.
    double coldFactor = 1.5;
    double coldSlack = 5;

    bool operator==(const fleet_bounds &) const = default;
};

/// Settings of a daemon that serves the plain front door of the users' platform.
struct entry_settings
{
    daemon_id id;
    failure_domain_name domain;
    region_name region;
    ip_address clients;
    ip_address readiness;
    /// Where other daemons reach this one.
    ip_address peers;
    ip_address store;
    /// The whole deployment starts for the first time.
    bool bootstrap = false;
    /// Time between SIGTERM and the end of the process.
    milliseconds grace {6000};
    /// How long entries that lapsed while the store was away may take to come back.
    milliseconds lapseGrace {2500};
    /// Time between two listings, which may be old, that show whether a waiting watch misses changes.
    milliseconds staleCheck {2000};
    /// The same for the configuration, by listings that are never old.
    milliseconds freshCheck {2500};
    /// Time between two small calls that show whether the store can be reached; those who follow this daemon rely on it.
    milliseconds reachCheck {500};
    fleet_bounds bounds;

    bool operator==(const entry_settings &) const = default;
};

/// Reads a settings file; unknown keys, types and ranges are checked.
parsed<entry_settings> parseEntrySettings(std::string_view text, std::string_view fileName);

} // namespace daisystile
