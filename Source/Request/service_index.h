#pragma once

#include "server_loads.h"

#include <memory>
#include <vector>

namespace daisystile {

/// A catalogue entry with its servers resolved to numbers for fast lookup per shard request.
struct service_index
{
    std::shared_ptr<const service> catalogue;
    /// Replicas of each shard.
    std::vector<std::vector<server_number>> replicas;
};

/// Resolves each server of the service to its number in the loads; replicas without a server entry are left out.
std::shared_ptr<const service_index> indexService(std::shared_ptr<const service> catalogue, server_loads &loads);

} // namespace daisystile
