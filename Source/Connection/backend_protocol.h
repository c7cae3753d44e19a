#pragma once

#include "peer_messages.h"
#include "slot_gate.h"

#include <string>

namespace daisystile {

/// The request's id at a backend server, unique per attempt.
std::string backendRequestId(const query_reference &query, const shard_attempt &attempt);

http_call makeSearchCall(const search_batch &batch, const shard_attempt &attempt, const ip_address &server, milliseconds left);
http_call makeCancelCall(const ip_address &server, const std::string &requestId);

/// Converts a server's reply, or the failure to get one, to an answer: outcome, failure, snapshot, shard map and body.
/// After a reply with another request's id, the outcome of the request is unknown.
shard_answer readSearchAnswer(const std::string &requestId, http_result result);

/// The reason of a 503 response, from its problem document; the server did not run the request.
attempt_failure readUnavailableReason(const std::string &body);
/// How the gate accounts for a request that ended with the failure.
request_end requestEndFor(attempt_failure failure);

} // namespace daisystile
