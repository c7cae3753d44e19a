#pragma once

#include "config_error.h"

#include <Process/process.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace daisystile {

/// A query service answers from its shards; an execute service runs each request on one of its servers.
enum class service_kind : std::uint8_t {
    query,
    execute,
};

struct backend_server
{
    backend_server_id id;
    failure_domain_name domain;
    ip_address address;
    /// Number of requests that the server runs concurrently once it is warm.
    std::uint32_t slots = 1;
    /// Number of connections that the server accepts from all daemons together.
    std::uint32_t connections = 30;
};

struct shard_placement
{
    std::vector<backend_server_id> replicas;
};

/// A service of the catalogue with its shard map and newest snapshot.
struct service
{
    service_name name;
    config_version version;
    service_kind kind = service_kind::query;
    snapshot_id snapshot;
    shard_map_version mapVersion;
    std::vector<backend_server> servers;
    /// Indexed by shard; empty for execute services.
    std::vector<shard_placement> shards;
};

/// Parses a service from TOML or from JSON with the same keys. The version is not part of the text.
parsed<service> parseService(std::string_view text, std::string_view fileName);

} // namespace daisystile
