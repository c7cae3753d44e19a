#include "trace_endpoint.h"

namespace daisystile {

static constexpr const char *problemType = "application/problem+json";

static http_response traceResponse(const std::optional<std::string> &trace)
{
    if (!trace) {
        return {.status = 404, .body = R"({"title":"no trace of this server was recorded here"})", .contentType = problemType};
    }
    return {.body = *trace, .contentType = "text/plain; charset=utf-8"};
}

http_handler gateTraceHandler(reactor &loop, gate_trace_source fetch)
{
    return [&loop, fetch = std::move(fetch)](const http_request &request, const http_responder &respond) {
        const auto server = request.query.find("server");
        if (request.method != "GET" || server == request.query.end()) {
            respond({.status = 400, .body = R"({"title":"server: expected the name of a backend server"})", .contentType = problemType});
            return;
        }
        fetch({server->second},
            [&loop, respond](const std::optional<std::string> &trace) { loop.post([respond, response = traceResponse(trace)] { respond(response); }); });
    };
}

} // namespace daisystile
