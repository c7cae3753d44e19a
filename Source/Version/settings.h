#pragma once

#include "config_mistake.h"

#include <Process/process.h>

#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// When a second attempt at a slow shard starts.
enum class hedge_policy {
    none,
    fixed_delay,
    quantile,
    quantile_with_suppression,
};

/// How servers are shared between daemons.
enum class ownership_policy {
    owner_per_server,
    /// Each daemon opens its own connections to every server; a baseline for measurements.
    every_daemon,
};

/// Whether a request not seen lately runs on one shard before it goes to all.
enum class trial_policy {
    none,
    new_requests,
};

/// A daemon's settings, from its TOML file.
struct daemon_settings
{
    daemon_id id;
    failure_domain_name domain;
    region_name region;
    ip_address callers;
    ip_address operators;
    ip_address traffic;
    ip_address control;
    ip_address platform;
    /// Control addresses of other daemons, asked when the platform can't be reached at the start.
    std::vector<ip_address> seeds;
    /// Shared by all daemons of the fleet; proves a peer.
    std::string peerKey;
    /// SHA-256 of the operators' token, lower-case hexadecimal.
    std::string operatorTokenDigest;
    hedge_policy hedging = hedge_policy::quantile;
    ownership_policy ownership = ownership_policy::owner_per_server;
    trial_policy trials = trial_policy::new_requests;
    milliseconds ownershipLease {4000};
    milliseconds heartbeat {500};
    bool recordTrace = false;
};

/// Reads a settings file; unknown keys, types and ranges are checked.
parsed<daemon_settings> parseDaemonSettings(std::string_view text, std::string_view fileName);

} // namespace daisystile
