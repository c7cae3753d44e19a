#pragma once

#include "query_state.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace daisystile {

/// An admitted query.
struct search_request
{
    service_name service;
    std::shared_ptr<const contract> terms;
    fingerprint request;
    /// Sent to each shard unchanged.
    std::string body;
    /// Time the caller waits; at most the contract's limit.
    milliseconds wait {0};
};

struct missing_shard
{
    shard_index shard;
    attempt_failure reason = attempt_failure::none;
};

struct search_reply
{
    query_reference query;
    query_outcome outcome = query_outcome::partial;
    snapshot_id snapshot;
    std::uint32_t shards = 0;
    std::uint32_t covered = 0;
    std::vector<missing_shard> missing;
    /// A JSON array.
    std::string results;
    /// Number of shard attempts, and how many of them were hedges and retries.
    std::uint32_t attempts = 0;
    std::uint32_t extraAttempts = 0;
};

using search_callback = std::function<void(search_reply)>;

} // namespace daisystile
