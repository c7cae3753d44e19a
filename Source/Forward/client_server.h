#pragma once

#include "forwarder.h"

#include <memory>
#include <unordered_map>

namespace daisystile {

/// HTTP server for clients: reads requests one at a time, writes their answers and enforces the configured limits.
class client_server
{
public:
    client_server(reactor &loop, forwarder &requests, metrics &registry);
    ~client_server();
    client_server(const client_server &) = delete;
    client_server &operator=(const client_server &) = delete;

    /// Errors: those of openListeningSocket().
    leaf::result<void> listen(const ip_address &address);

    ip_address address() const;
    /// From now on connections are closed after their next answer.
    void startDraining();
    /// Stops accepting connections and closes those without a request.
    void closeIdle();
    /// Number of connections with a request that is being read or answered.
    std::size_t busyConnections() const;

private:
    class client_connection;
    using connection_number = std::uint64_t;

    void accepted(int handle);
    void sweep();
    void retire(connection_number number);

    reactor &m_loop;
    forwarder &m_requests;
    metric_gauge m_openConnections;
    metric_counter m_malformed;
    std::unique_ptr<tcp_listener> m_listener;
    std::unordered_map<connection_number, std::unique_ptr<client_connection>> m_connections;
    // Destroyed on the next sweep, because they may be retired from within their own callbacks.
    std::vector<std::unique_ptr<client_connection>> m_retired;
    connection_number m_next = 1;
    bool m_draining = false;
};

} // namespace daisystile
