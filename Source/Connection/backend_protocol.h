#pragma once

#include "peer_messages.h"
#include "slot_gate.h"

#include <string>

namespace daisystile {

/// The request's name at a backend server; never the same for two attempts.
std::string backendRequestId(const query_reference &query, const shard_attempt &attempt);

http_call makeSearchCall(const search_batch &batch, const shard_attempt &attempt, const ip_address &server, milliseconds left);
http_call makeCancelCall(const ip_address &server, const std::string &requestId);

/// Turns a server's reply, or its absence, into an answer: outcome, failure, snapshot, shard map and body.
/// A reply that names another request is foreign: its own was run, or not, nobody knows.
shard_answer readSearchAnswer(const std::string &requestId, http_result result);

/// Why a server that answers 503 did not run the request, from its problem document.
attempt_failure reasonOfUnavailable(const std::string &body);
/// What the end of a request tells of its server.
request_end endOf(attempt_failure failure);

} // namespace daisystile
