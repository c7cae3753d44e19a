#pragma once

#include "ip_address.h"
#include "reactor.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisystile {

struct http_header
{
    std::string name;
    std::string value;
};

struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// The value of a header (name in lower case), if present.
    std::optional<std::string> header(const std::string &name) const;
};

struct http_response
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<http_header> headers;
    /// Closes the connection without a response.
    bool dropConnection = false;
};

/// Sends the response to one request. Called once, on the reactor's thread, possibly after the handler returned.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_limits
{
    std::size_t bodyBytes = 1U << 20U;
    unsigned connections = 4096;
    /// All unfinished bodies together; beyond it connections are closed.
    std::size_t heldBodyBytes = 64U << 20U;
    /// A connection without activity for this long is closed.
    seconds idle {30};
};

/// An HTTP server on one reactor; a pending request occupies no thread.
class http_server
{
public:
    /// Errors: those of openListeningSocket().
    static leaf::result<std::unique_ptr<http_server>> listen(reactor &loop, const ip_address &address, http_handler handler, http_server_limits limits = {});

    http_server();
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    ip_address address() const;
    /// Number of requests received but not yet answered.
    std::size_t openRequests() const;
    /// Number of open connections.
    unsigned openConnections() const;
    /// Closes the listening socket. Accepted connections stay open; their next response carries "Connection: close".
    void stopListening();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
