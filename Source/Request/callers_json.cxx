#include "callers_json.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisystile {

using nlohmann::json;

static constexpr milliseconds maxTimeout {600'000};
static constexpr seconds coverageRetryAfter {1};

static const char *toString(refusal_outcome outcome)
{
    return outcome == refusal_outcome::not_run ? "not_run" : "unknown";
}

static http_response problemResponse(const problem &error, json members)
{
    members["type"] = "about:blank";
    members["title"] = error.title;
    members["status"] = error.status;
    members["detail"] = error.detail;
    members["outcome"] = toString(error.outcome);
    http_response response {.status = error.status, .body = members.dump(-1, ' ', false, json::error_handler_t::replace)};
    response.contentType = "application/problem+json";
    if (error.retryAfter) {
        response.headers.push_back({"Retry-After", std::to_string(error.retryAfter->count())});
    }
    if (error.status == 401) {
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return response;
}

http_response toResponse(const problem &error)
{
    return problemResponse(error, json::object());
}

static int statusOf(request_failure failure)
{
    switch (failure) {
    case request_failure::token_missing:
    case request_failure::token_refused:
        return 401;
    case request_failure::service_not_allowed:
        return 403;
    case request_failure::service_unknown:
    case request_failure::path_unknown:
        return 404;
    case request_failure::method_not_allowed:
        return 405;
    case request_failure::body_malformed:
    case request_failure::field_missing:
    case request_failure::field_invalid:
    case request_failure::field_unknown:
        return 400;
    case request_failure::address_in_use:
        return 500;
    }
    return 500;
}

problem toProblem(const request_error &error)
{
    std::ostringstream detail;
    detail << error;
    return {.status = statusOf(error.failure), .title = "request refused", .detail = detail.str()};
}

problem toProblem(const admission_refusal &refusal)
{
    const bool rate = refusal.reason == gate_verdict::over_rate;
    return {.status = 429,
        .title = "over the contract",
        .detail = rate ? "the contract's rate and burst are used up" : "the contract's concurrency is used up",
        .retryAfter = refusal.retryAfter};
}

leaf::result<std::string> parseQueryBody(std::string_view body)
{
    if (jsonNestsTooDeep(body)) {
        return leaf::new_error(request_error {request_failure::body_malformed, "body nested too deep"});
    }
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return leaf::new_error(request_error {request_failure::body_malformed, "body"});
    }
    for (const auto &member : parsed.items()) {
        if (member.key() != "query") {
            return leaf::new_error(request_error {request_failure::field_unknown, member.key()});
        }
    }
    const auto query = parsed.find("query");
    if (query == parsed.end()) {
        return leaf::new_error(request_error {request_failure::field_missing, "query"});
    }
    if (query->is_null()) {
        return leaf::new_error(request_error {request_failure::field_invalid, "query"});
    }
    return parsed.dump();
}

leaf::result<milliseconds> parseTimeout(std::string_view header)
{
    std::uint32_t value = 0;
    const auto *end = header.data() + header.size();
    const auto [rest, error] = std::from_chars(header.data(), end, value);
    if (error != std::errc() || rest != end || value == 0 || milliseconds {value} > maxTimeout) {
        return leaf::new_error(request_error {request_failure::field_invalid, "Request-Timeout"});
    }
    return milliseconds {value};
}

leaf::result<std::string> parseBearer(const std::optional<std::string> &header)
{
    static constexpr std::string_view scheme = "Bearer ";
    if (!header || header->size() <= scheme.size() || header->compare(0, scheme.size(), scheme) != 0) {
        return leaf::new_error(request_error {request_failure::token_missing, "Authorization"});
    }
    return header->substr(scheme.size());
}

static std::string requestIdOf(const query_reference &query)
{
    return query.coordinator.value + "-" + std::to_string(query.incarnationNumber.value) + "-" + std::to_string(query.query.value);
}

static json coverageOf(const search_reply &reply)
{
    auto missing = json::array();
    for (const auto &[shard, reason] : reply.missing) {
        missing.push_back({{"shard", shard.value}, {"reason", toString(reason)}});
    }
    return {{"shards", reply.shards}, {"covered", reply.covered}, {"missing", std::move(missing)}};
}

// The results are inserted as text; they were validated when they were received.
static http_response answerResponse(const search_reply &reply)
{
    const json head {{"request_id", requestIdOf(reply.query)}, {"snapshot", reply.snapshot.value}, {"coverage", coverageOf(reply)}};
    http_response response;
    response.body = head.dump(-1, ' ', false, json::error_handler_t::replace);
    response.body.pop_back();
    response.body += ",\"results\":";
    response.body += reply.results;
    response.body += '}';
    return response;
}

http_response toResponse(const search_reply &reply)
{
    switch (reply.outcome) {
    case query_outcome::complete:
    case query_outcome::partial:
        return answerResponse(reply);
    case query_outcome::too_little_coverage:
        return problemResponse({.status = 503,
                                   .title = "too little coverage",
                                   .detail = "fewer shards answered than the contract's least coverage",
                                   .outcome = refusal_outcome::unknown,
                                   .retryAfter = coverageRetryAfter},
            {{"request_id", requestIdOf(reply.query)}, {"coverage", coverageOf(reply)}});
    case query_outcome::quarantined:
        return problemResponse({.status = 422,
                                   .title = "request quarantined",
                                   .detail = "backend servers were lost while they ran this request",
                                   .outcome = reply.attempts == 0 ? refusal_outcome::not_run : refusal_outcome::unknown},
            {{"request_id", requestIdOf(reply.query)}});
    }
    return toResponse(problem {.title = "no answer"});
}

} // namespace daisystile
