#pragma once

#include "contract_limits.h"
#include "search_types.h"

#include <Process/process.h>

#include <optional>
#include <string>
#include <string_view>

namespace daisystile {

/// Whether a refused request is known not to have run.
enum class refusal_outcome {
    not_run,
    unknown,
};

/// An error response in the problem details format of RFC 9457.
struct problem
{
    int status = 500;
    std::string title;
    std::string detail;
    refusal_outcome outcome = refusal_outcome::not_run;
    std::optional<seconds> retryAfter;
};

http_response toResponse(const problem &error);
/// Maps a request error to the problem reported to the caller.
problem toProblem(const request_error &error);
problem toProblem(const admission_refusal &refusal);

/// Validates {"query": ...} and returns it in canonical form, with sorted keys and no spaces, so that equal queries
/// have equal texts. Errors: request_error{body_malformed, field_missing, field_unknown, field_invalid}.
leaf::result<std::string> parseQueryBody(std::string_view body);
/// Parses a positive number of milliseconds. Errors: request_error{field_invalid}.
leaf::result<milliseconds> parseTimeout(std::string_view header);
/// Returns the token of an Authorization header. Errors: request_error{token_missing}.
leaf::result<std::string> parseBearer(const std::optional<std::string> &header);

/// Returns status 200 for complete and partial answers, and a problem response for other outcomes.
http_response toResponse(const search_reply &reply);

} // namespace daisystile
