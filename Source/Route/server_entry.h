#pragma once

#include <Process/process.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisystile {

/// Version of the software of a backend server.
using software_version = strong_value<struct software_version_tag, std::string>;

/// A backend server's registration.
struct server_entry
{
    backend_server_id id;
    service_name service;
    ip_address address;
    failure_domain_name domain;
    /// Number of requests that it runs concurrently.
    unsigned slots = 1;
    bool draining = false;
    /// Remaining warm-up time as of when the entry was read.
    milliseconds coldLeft {0};
    /// Start time of this server process, in ms of Unix time; a later process with the same id is another server.
    std::uint64_t born = 0;
    /// Empty if it states none.
    software_version software;

    bool operator==(const server_entry &) const = default;
};

/// All registered backend servers, by service.
struct server_catalog
{
    std::map<service_name, std::vector<server_entry>> byService;
};

/// Range of a daemon's processor share, in cores.
inline constexpr double minStrength = 0.001;
inline constexpr double maxStrength = 1024;

/// One daemon of the fleet, as registered in the store.
struct fleet_daemon
{
    daemon_id id;
    failure_domain_name domain;
    /// Address at which other daemons follow this one; port 0 if none was registered.
    ip_address peers;
    /// Address at which it takes queries from other daemons; port 0 if it takes none.
    ip_address queries;
    /// Processor share, in cores, within the range above.
    double strength = 1;

    bool operator==(const fleet_daemon &) const = default;
};

} // namespace daisystile
