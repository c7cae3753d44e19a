#include "service_index.h"

#include <unordered_set>

namespace daisystile {

std::shared_ptr<const service_index> indexService(std::shared_ptr<const service> catalogue, server_loads &loads)
{
    auto index = std::make_shared<service_index>();
    std::unordered_set<backend_server_id> known;
    for (const auto &server : catalogue->servers) {
        known.insert(server.id);
    }
    index->replicas.resize(catalogue->shards.size());
    for (std::size_t shard = 0; shard < catalogue->shards.size(); ++shard) {
        for (const auto &replica : catalogue->shards[shard].replicas) {
            if (known.contains(replica)) {
                index->replicas[shard].push_back(loads.numberOf(replica));
            }
        }
    }
    index->catalogue = std::move(catalogue);
    return index;
}

} // namespace daisystile
