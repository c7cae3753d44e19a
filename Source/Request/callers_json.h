#pragma once

#include "contract_limits.h"
#include "search_types.h"

#include <Process/process.h>

#include <optional>
#include <string>
#include <string_view>

namespace daisystile {

/// What may still be said of a request that is refused.
enum class refusal_outcome {
    not_run,
    unknown,
};

/// An error answer, RFC 9457.
struct problem
{
    int status = 500;
    std::string title;
    std::string detail;
    refusal_outcome outcome = refusal_outcome::not_run;
    std::optional<seconds> retryAfter;
};

http_response toResponse(const problem &error);
/// The problem that a request error is to its caller.
problem toProblem(const request_error &error);
problem toProblem(const admission_refusal &refusal);

/// Checks {"query": ...} and gives it back with sorted keys and no spaces, so that equal queries have equal texts.
/// Errors: request_error{body_malformed, field_missing, field_unknown, field_wrong}.
leaf::result<std::string> parseQueryBody(std::string_view body);
/// Reads a number of milliseconds above zero. Errors: request_error{field_wrong}.
leaf::result<milliseconds> parseTimeout(std::string_view header);
/// The token of an Authorization header. Errors: request_error{token_missing}.
leaf::result<std::string> parseBearer(const std::optional<std::string> &header);

/// 200 for whole and partial answers, a problem with the coverage for others.
http_response toResponse(const search_reply &reply);

} // namespace daisystile
