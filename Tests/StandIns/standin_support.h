#pragma once

#include <Process/process.h>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace daisystile {

/// Blocks SIGTERM and SIGINT, and ignores SIGPIPE. Call it before any thread starts.
void blockStopSignals();
/// Runs the loop until SIGTERM or SIGINT; needs blockStopSignals().
void runUntilStopSignal(reactor &loop);

/// Parses the text; empty if it is not valid JSON.
std::optional<nlohmann::json> parseJson(const std::string &text);
http_response jsonResponse(const nlohmann::json &body, int status = 200);
http_response problemResponse(int status, const std::string &title, const std::string &outcome = {});
http_response dropConnectionResponse();
/// Wraps a handler so that it responds 400 when a field of the JSON request body is missing or has the wrong type.
http_handler handleJsonErrors(std::function<http_response(const http_request &)> handle);

/// Overwrites the target if the object has the field and it is not null.
template<class T, class Json> void readField(const Json &object, const char *name, T &target)
{
    const auto found = object.find(name);
    if (found != object.end() && !found->is_null()) {
        found->get_to(target);
    }
}

/// Starts a server, or exits with status 2 if it cannot listen on the address.
std::unique_ptr<http_server> listenOrExit(reactor &loop, const std::string &address, http_handler handler, http_server_limits limits = {});

} // namespace daisystile
