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
    /// Uses a new connection, as a kept one may end just as the request leaves.
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
    /// False only when no byte of the request can have left.
    bool mayHaveBeenSent = true;
    std::string message;
};

using http_result = std::variant<http_reply, http_failure>;
using http_call_id = std::uint64_t;

/// The server ended a connection between two calls.
struct ended_connection
{
    ip_address address;
    /// Time since its last call.
    milliseconds unused {0};
};

struct http_client_limits
{
    /// Open connections to one address, idle ones included.
    long connectionsPerAddress = 30;
    long totalConnections = 4096;
};

/// HTTP calls over kept connections on one reactor.
class http_client
{
public:
    explicit http_client(reactor &loop, http_client_limits limits = {});
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// The callback comes exactly once, on the reactor's thread, never from within send(). The request leaves at most once.
    http_call_id send(http_call call, std::function<void(http_result)> callback);
    /// Drops the call and its connection; its callback reports cancelled. An ended call is ignored.
    void cancel(http_call_id call);
    /// Called on the reactor's thread, never from within another call of this class.
    void onConnectionEnded(std::function<void(const ended_connection &)> callback);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
