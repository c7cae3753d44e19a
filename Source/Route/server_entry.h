#pragma once

#include <Process/process.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisystile {

/// A backend server as it registered itself.
struct server_entry
{
    backend_server_id id;
    service_name service;
    ip_address address;
    failure_domain_name domain;
    /// Requests that it runs at a time.
    unsigned slots = 1;
    bool draining = false;
    /// How much longer it is cold, counted from when this was read.
    milliseconds coldLeft {0};
    /// Start of this life of the server, in ms of the Unix time; a later life of the same id is another server.
    std::uint64_t born = 0;

    bool operator==(const server_entry &) const = default;
};

/// All backend servers to use, by service.
struct server_catalog
{
    std::map<service_name, std::vector<server_entry>> byService;
};

/// One daemon of the fleet, as registered in the store.
struct fleet_daemon
{
    daemon_id id;
    failure_domain_name domain;
    /// Where other daemons reach it; port 0 when it said nothing.
    ip_address peers;

    bool operator==(const fleet_daemon &) const = default;
};

} // namespace daisystile
