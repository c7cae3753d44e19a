#include "execute_service.h"

#include <nlohmann/json.hpp>

namespace daisystile {

static constexpr seconds retryAfter {1};

static http_response doneResponse(const std::string &body)
{
    // The server's JSON is passed through unchanged, so that a resend gets the same bytes.
    const auto result = nlohmann::json::accept(body) ? body : nlohmann::json(body).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return {.status = 200, .body = R"({"outcome":"done","result":)" + result + "}"};
}

static problem problemOf(run_outcome outcome, attempt_failure failure)
{
    if (failure == attempt_failure::key_reused) {
        return {422, "idempotency key reused", "the key came before with another request", refusal_outcome::unknown, std::nullopt};
    }
    if (outcome == run_outcome::not_run) {
        return {503, "not run", toString(failure), refusal_outcome::not_run, retryAfter};
    }
    return {504, "outcome unknown", toString(failure), refusal_outcome::unknown, std::nullopt};
}

http_response executeResponse(run_outcome outcome, attempt_failure failure, const std::string &body)
{
    return outcome == run_outcome::done ? doneResponse(body) : toResponse(problemOf(outcome, failure));
}

} // namespace daisystile
