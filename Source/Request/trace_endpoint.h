#pragma once

#include <Connection/connection.h>

#include <functional>
#include <optional>
#include <string>

namespace daisystile {

/// Fetches the recorded slot-gate trace of a backend server; may call back on another thread.
using gate_trace_source = std::function<void(backend_server_id, std::function<void(std::optional<std::string>)>)>;

/// Serves GET .../trace/gate?server=ID as text; responds on the loop's thread.
http_handler gateTraceHandler(reactor &loop, gate_trace_source fetch);

} // namespace daisystile
