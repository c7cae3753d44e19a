#pragma once

#include "backend_pool.h"
#include "routing_snapshot.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// An answer of our own: a refusal or a failure.
struct local_reply
{
    int status = 0;
    std::optional<milliseconds> retryAfter;
};

/// What a client gets: a backend server's answer, a query's merged answer, or our own.
using client_reply = std::variant<response_message, query_answer, local_reply>;

/// Names a request that runs; 0 names none.
using request_number = std::uint64_t;

/// What a request needs of one service.
struct request_part
{
    service_name service;
    std::vector<backend_server_id> tried;
    /// Attempts that have reached, or may have reached, a server.
    unsigned arrivals = 0;
    /// When it began to wait for room; none while it doesn't.
    std::optional<monotonic_time> waitingSince;
    answer_signature signature;
    std::string body;
};

/// A client's request from its arrival to its reply.
struct running_request
{
    request_number number = 0;
    request_message message;
    client_request_head head;
    std::shared_ptr<const routing_snapshot> view;
    const route *matchedRoute = nullptr;
    monotonic_time received;
    monotonic_time deadline;
    forward_state state;
    std::vector<request_part> parts;
    /// The answer to a request to one service.
    std::optional<response_message> answer;
    std::set<attempt_id> attempts;
    std::function<void(client_reply)> reply;
    timer_id timer = 0;
    monotonic_time timerAt = monotonic_time::max();
    bool waited = false;
    /// How long it would have to wait, as foreseen when it came.
    milliseconds forecastWait {0};
    unsigned attemptsMade = 0;
};

/// A request part that was sent to a backend server.
struct running_attempt
{
    request_number request;
    part_index part;
    backend_server_id server;
    route_name route;
    service_name service;
    monotonic_time sent;
    client_request_id clientId;
};

/// One line a request: what was decided, from which inputs, and how old these were.
void logRequestEnd(const running_request &request, const char *outcome, monotonic_time now);
void logAttemptFailure(const running_attempt &attempt, attempt_end end, const exchange_result &exchange, bool awaited, monotonic_time now);

} // namespace daisystile
