#pragma once

#include "server_loads.h"

#include <memory>
#include <vector>

namespace daisystile {

/// A service of the catalogue with its servers as numbers, for use per shard request.
struct service_index
{
    std::shared_ptr<const service> catalogue;
    /// Replicas by shard.
    std::vector<std::vector<server_number>> replicas;
};

/// Gives each server of the service its number in the loads; replicas without a server entry are left out.
std::shared_ptr<const service_index> indexService(std::shared_ptr<const service> catalogue, server_loads &loads);

} // namespace daisystile
