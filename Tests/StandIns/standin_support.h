#pragma once

#include <Process/process.h>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace daisystile {

/// Runs the loop until SIGTERM or SIGINT. Call blockStopSignals() before any thread starts.
void blockStopSignals();
void runUntilStopSignal(reactor &loop);

/// The parsed text, or nothing when it is no JSON.
std::optional<nlohmann::json> parseJson(const std::string &text);
http_response jsonResponse(const nlohmann::json &body, int status = 200);
http_response problemResponse(int status, const std::string &title, const std::string &outcome = {});
http_response droppedConnection();
/// A handler that answers 400 when a field of the request's JSON has the wrong type.
http_handler guarded(std::function<http_response(const http_request &)> handle);

/// Overwrites the target when the object has the field.
template<class T, class Json> void takeField(const Json &object, const char *name, T &target)
{
    const auto found = object.find(name);
    if (found != object.end() && !found->is_null()) {
        found->get_to(target);
    }
}

/// Listens or ends the program with a message.
std::unique_ptr<http_server> listenOrExit(reactor &loop, const std::string &address, http_handler handler, http_server_limits limits = {});

} // namespace daisystile
