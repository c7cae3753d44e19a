#include "request_terms.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

// Allows for the transfer to the client and for scheduling delays on the host.
constexpr milliseconds answerMargin {12};
constexpr milliseconds giveUpMargin {20};
// Also allows for the way back to the daemon that has delegated the parts.
constexpr milliseconds delegatedGiveUpMargin {30};

std::vector<request_part> shardParts(const shards_target &target, const running_request &request)
{
    std::vector<request_part> parts;
    for (std::size_t shard = 0; shard < target.shards.size(); ++shard) {
        const bool all = !isPartOfQuery(request);
        if (all || std::find(request.peerTerms->shards.begin(), request.peerTerms->shards.end(), shard) != request.peerTerms->shards.end()) {
            parts.push_back({.service = target.shards[shard], .shard = shard});
        }
    }
    return parts;
}

} // namespace

std::vector<request_part> partsOf(const running_request &request, std::size_t splitIndex)
{
    const auto &target = request.matchedRoute->target;
    if (const auto *shards = std::get_if<shards_target>(&target)) {
        return shardParts(*shards, request);
    }
    if (const auto *split = std::get_if<split_target>(&target)) {
        return {{.service = split->services[splitIndex].service}};
    }
    return {{.service = std::get<single_target>(target).service}};
}

forward_limits limitsOf(const running_request &request, microseconds typicalLatency)
{
    const auto &matchedRoute = *request.matchedRoute;
    forward_limits limits;
    limits.retryPolicy = matchedRoute.retryPolicy;
    limits.maxAttempts = matchedRoute.maxAttempts;
    limits.parts = request.parts.size();
    if (const auto *shards = std::get_if<shards_target>(&matchedRoute.target)) {
        const double least = std::ceil(shards->minShare * static_cast<double>(limits.parts) - 1e-9);
        limits.minParts = std::max<std::size_t>(1, static_cast<std::size_t>(least));
        limits.retryPolicy = retry_policy::idempotent;
    }
    limits.acceptsAny = isPartOfQuery(request);
    const auto margin = limits.acceptsAny ? delegatedGiveUpMargin : giveUpMargin;
    limits.timeoutAt = std::min(request.deadline - margin, request.received + matchedRoute.timeout);
    limits.partialAnswerAt = std::min(request.received + request.objective - answerMargin, limits.timeoutAt);
    const auto typical = std::chrono::duration_cast<milliseconds>(typicalLatency);
    limits.latestStart = std::max(request.received, limits.partialAnswerAt - typical);
    return limits;
}

bool isPartOfQuery(const running_request &request)
{
    return request.peerTerms && !request.peerTerms->shards.empty();
}

} // namespace daisystile
