#pragma once

#include "running_request.h"

namespace daisystile {

/// The parts of a request: one for each shard that is queried, or one for a single service. Of several services that share a
/// route's requests, the split index names the one whose turn it is.
std::vector<request_part> partsOf(const running_request &request, std::size_t splitIndex);

/// The limits within which the request must be answered; typicalLatency is that of its route at the backend servers.
forward_limits limitsOf(const running_request &request, microseconds typicalLatency);

/// Whether another daemon has delegated some of a query's parts to this one.
bool isPartOfQuery(const running_request &request);

} // namespace daisystile
