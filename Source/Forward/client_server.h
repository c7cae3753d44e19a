#pragma once

#include "client_memory.h"
#include "forwarder.h"

#include <deque>
#include <list>
#include <memory>
#include <unordered_map>

namespace daisystile {

/// HTTP server for clients: reads requests one at a time, writes their answers and enforces the configured limits. Near its
/// largest number of connections it closes those that have been idle longest for new ones, and then those whose request doesn't go
/// on; while all others are in use it accepts none.
class client_server
{
public:
    client_server(reactor &loop, forwarder &requests, metrics &registry, std::size_t maxConnections = clientDescriptors(allowedDescriptors()));
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
    /// Whether one more connection may be accepted, after closing an idle one if need be.
    bool makeRoom();
    void closeLongestIdle();
    /// Refuses requests that don't go on, to have room for new connections.
    void refuseStalled();
    void closeForRoom(connection_number number);
    bool allInUse() const;
    /// Closes connections while more is held for clients than is allowed.
    void freeMemory();
    /// The same, outside the current callback.
    void scheduleFreeMemory();
    void noteLimitReached();
    void noteLimitLeft();
    std::shared_ptr<void> countDescriptor();
    void sweep();
    void retire(connection_number number);

    reactor &m_loop;
    forwarder &m_requests;
    client_memory m_memory;
    metric_gauge m_openConnections;
    metric_counter m_malformed;
    metric_counter m_closedForRoom;
    metric_counter m_limitReached;
    std::size_t m_maxConnections;
    // Descriptors of connections, also of those that are closed here but not yet by the peer.
    std::shared_ptr<std::size_t> m_usedDescriptors = std::make_shared<std::size_t>(0);
    bool m_atLimit = false;
    bool m_freeScheduled = false;
    std::unique_ptr<tcp_listener> m_listener;
    std::unordered_map<connection_number, std::unique_ptr<client_connection>> m_connections;
    // Without a request, the longest idle first.
    std::list<client_connection *> m_idle;
    // Closed for new ones, the oldest first; their descriptors are freed early if need be.
    std::deque<std::unique_ptr<client_connection>> m_closing;
    // Destroyed on the next sweep, because they may be retired from within their own callbacks.
    std::vector<std::unique_ptr<client_connection>> m_retired;
    connection_number m_next = 1;
    bool m_draining = false;
};

} // namespace daisystile
