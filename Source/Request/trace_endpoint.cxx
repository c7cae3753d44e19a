#include "trace_endpoint.h"

#include "operators_json.h"

namespace daisystile {

static http_response traceResponse(const std::optional<std::string> &trace)
{
    if (!trace) {
        return operatorsProblem(404, "rejected", "no trace of this server was recorded here");
    }
    return {.body = *trace, .contentType = "text/plain; charset=utf-8"};
}

http_handler gateTraceHandler(reactor &loop, gate_trace_source fetch)
{
    return [&loop, fetch = std::move(fetch)](const http_request &request, const http_responder &respond) {
        const auto server = request.query.find("server");
        if (request.method != "GET" || server == request.query.end()) {
            respond(operatorsProblem(400, "rejected", "server: expected the name of a backend server"));
            return;
        }
        fetch({server->second},
            [&loop, respond](const std::optional<std::string> &trace) { loop.post([respond, response = traceResponse(trace)] { respond(response); }); });
    };
}

} // namespace daisystile
