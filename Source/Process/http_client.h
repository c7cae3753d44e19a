#pragma once

#include "http_server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

struct http_call
{
    std::string method = "GET";
    ip_address address;
    /// Path with query, percent-encoded.
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout {1000};
    /// Opens a new connection, since the server may close an idle one just as the request is sent.
    bool newConnection = false;
};

struct http_reply
{
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

enum class http_failure_kind {
    connect_failed,
    timed_out,
    reset,
    cancelled,
    malformed,
};

struct http_failure
{
    http_failure_kind kind;
    /// False only if no byte of the request can have been sent.
    bool mayHaveBeenSent = true;
    std::string message;
};

using http_result = std::variant<http_reply, http_failure>;
using http_call_id = std::uint64_t;

/// An idle connection that the server closed between two calls.
struct closed_idle_connection
{
    ip_address address;
    /// Idle time since its last call.
    milliseconds idleTime {0};
};

struct http_client_limits
{
    /// Open connections to one address, idle ones included.
    long connectionsPerAddress = 30;
    long totalConnections = 4096;
};

/// HTTP client with persistent connections, driven by one reactor.
class http_client
{
public:
    explicit http_client(reactor &loop, http_client_limits limits = {});
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Calls back exactly once, on the reactor's thread, never from within send(). Sends the request at most once.
    http_call_id send(http_call call, std::function<void(http_result)> callback);
    /// Aborts the call and closes its connection; its callback receives `cancelled`. Does nothing for a finished call.
    void cancel(http_call_id call);
    /// Sets a callback for closed idle connections. It runs on the reactor's thread, never from within a member function.
    void onIdleConnectionClosed(std::function<void(const closed_idle_connection &)> callback);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
