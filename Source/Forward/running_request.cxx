#include "running_request.h"

namespace daisystile {

void logRequestEnd(const running_request &request, const char *outcome, monotonic_time now)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(now - request.received);
    const bool late = waited > request.objective;
    const auto line = field("request", request.head.id.value) + field("route", request.matchedRoute->name.value) + field("outcome", outcome)
        + field("parts", std::to_string(request.state.answered) + "/" + std::to_string(request.state.terms.parts)) + field("lost", request.state.lost)
        + field("attempts", request.attemptsMade) + field("waited_ms", static_cast<std::uint64_t>(waited.count()))
        + field("foreseen_wait_ms", static_cast<std::uint64_t>(request.forecastWait.count()))
        + field("objective_ms", static_cast<std::uint64_t>(request.objective.count())) + field("version", request.view->routes->configuration().version.value);
    const bool good = request.state.answered == request.state.terms.parts && !late;
    if (good) {
        DAISYSTILE_LOG(INFO, "answer") << "Request ended." << line;
    } else {
        DAISYSTILE_LOG(WARNING, "answer") << "Request ended." << line;
    }
}

void logDelegatedEnd(const running_request &request, const daemon_id &delegate, const char *outcome, monotonic_time now)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(now - request.received);
    const auto line = field("request", request.head.id.value) + field("route", request.matchedRoute->name.value) + field("outcome", outcome)
        + field("delegate", delegate.value) + field("waited_ms", static_cast<std::uint64_t>(waited.count()))
        + field("objective_ms", static_cast<std::uint64_t>(request.matchedRoute->objective.count()))
        + field("version", request.view->routes->configuration().version.value);
    if (waited <= request.matchedRoute->objective) {
        DAISYSTILE_LOG(INFO, "answer") << "Delegated request ended." << line;
    } else {
        DAISYSTILE_LOG(WARNING, "answer") << "Delegated request ended." << line;
    }
}

void logServerEnd(const running_attempt &attempt, std::uint64_t serversEnded, monotonic_time now)
{
    const auto took = std::chrono::duration_cast<milliseconds>(now - attempt.sent);
    DAISYSTILE_LOG(WARNING, "guard") << "Backend server ended under a request." << field("request", attempt.clientId.value)
                                     << field("content", toString(attempt.digest)) << field("service", attempt.service.value)
                                     << field("server", attempt.server.value) << field("took_ms", static_cast<std::uint64_t>(took.count()))
                                     << field("servers_ended", serversEnded);
}

void logAttemptFailure(const running_attempt &attempt, attempt_end end, const exchange_result &exchange, bool awaited, monotonic_time now)
{
    const auto *broken = std::get_if<exchange_broken>(&exchange);
    const auto took = std::chrono::duration_cast<milliseconds>(now - attempt.sent);
    const auto reason = broken != nullptr ? std::string(broken->reason) : "status " + std::to_string(std::get<exchange_answer>(exchange).message.status);
    DAISYSTILE_LOG(WARNING, "attempt") << "Attempt failed." << field("request", attempt.clientId.value) << field("part", attempt.part)
                                       << field("service", attempt.service.value) << field("server", attempt.server.value) << field("reason", reason)
                                       << field("took_ms", static_cast<std::uint64_t>(took.count()))
                                       << field("outcome", end == attempt_end::failed ? "may_have_run" : "not_run") << field("awaited", awaited ? "yes" : "no")
                                       << field("content", toString(attempt.digest));
}

} // namespace daisystile
