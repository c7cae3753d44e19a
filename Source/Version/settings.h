#pragma once

#include "config_error.h"

#include <Process/process.h>

#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// Determines when a hedged request to a slow shard is sent.
enum class hedge_policy {
    none,
    fixed_delay,
    quantile,
    quantile_with_suppression,
};

/// Determines which daemons connect to a backend server.
enum class ownership_policy {
    owner_per_server,
    /// Each daemon opens its own connections to every server; the baseline that benchmarks compare against.
    every_daemon,
};

/// Determines whether a request that was not seen recently runs on one shard before it is sent to all shards.
enum class trial_policy {
    none,
    new_requests,
};

/// The settings of a daemon, read from its TOML file.
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
    /// Control addresses of other daemons, contacted if the platform is unreachable at the start.
    std::vector<ip_address> seeds;
    /// Secret shared by all daemons of the fleet, with which peers authenticate.
    std::string peerKey;
    /// SHA-256 digest of the operators' token in lower-case hexadecimal.
    std::string operatorTokenDigest;
    hedge_policy hedging = hedge_policy::quantile;
    ownership_policy ownership = ownership_policy::owner_per_server;
    trial_policy trials = trial_policy::new_requests;
    milliseconds ownershipLease {4000};
    milliseconds heartbeat {500};
    bool recordTrace = false;
};

/// Reads a settings file in the customary forms (see reading_rules). Names, addresses and secrets must be right.
settings_reading<daemon_settings> readDaemonSettings(std::string_view text, std::string_view fileName);

/// The same for a check: unknown keys, wrong types and values out of range are errors.
parsed<daemon_settings> parseDaemonSettings(std::string_view text, std::string_view fileName);

} // namespace daisystile
