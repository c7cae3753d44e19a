#pragma once

#include "backend_connection.h"
#include "entry_settings.h"
#include "routing_snapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace daisystile {

/// A backend server with this daemon's connections to it and its statistics.
struct backend
{
    server_entry entry;
    replica_stats record;
    std::vector<std::unique_ptr<backend_connection>> connections;
    connection_share share;
    monotonic_time coldUntil;
    /// Requests that may be sent now while the server is cold; refilled over time.
    double coldAllowance = 0;
    monotonic_time coldRefilled;
    /// Gets no more requests: draining, removed, in an evacuated domain, or misdirected.
    bool barred = false;
    /// Is in the current catalog.
    bool listed = false;
    /// A server with another id answered at its address.
    bool misdirected = false;
};

/// How an attempt on a server ended.
struct attempt_result
{
    attempt_id attempt;
    exchange_result exchange;
};

struct server_counts
{
    std::size_t usable = 0;
    /// Among the usable.
    std::size_t cold = 0;
    std::size_t barred = 0;
};

/// All backend servers and the connections to them. Used on the traffic thread only.
class backend_pool
{
public:
    backend_pool(reactor &loop, const entry_settings &settings, std::function<void(attempt_result)> done);

    void update(const std::shared_ptr<const routing_snapshot> &view);
    void setBounds(const fleet_bounds &bounds);

    /// The best server of a service that can take a request now and is not excluded; null if there is none.
    backend *choose(const service_name &service, const std::vector<backend_server_id> &excluded, microseconds typicalLatency);
    /// True if a server of the service that is not excluded can take a request now or once others have ended.
    bool hasServer(const service_name &service, const std::vector<backend_server_id> &excluded) const;

    /// Sends a request to the server, which must be the one that choose() has just returned.
    attempt_id send(backend &server, const client_request_id &request, std::string bytes, bool bodyless, milliseconds suspectAfter);
    /// The attempt's answer is no longer needed; its connection is closed if the server hasn't answered by the given time.
    void abandon(attempt_id attempt, monotonic_time breakOffAt);
    /// Record an attempt's result in the statistics of its server.
    void answered(const backend_server_id &server, attempt_id attempt, microseconds typicalLatency);
    void failed(const backend_server_id &server, attempt_id attempt, double weight);
    void misdirected(const backend_server_id &server);

    /// Number of servers in the catalog, by state.
    server_counts counts() const;

private:
    struct attempt_place
    {
        backend_server_id server;
        backend_connection *connection;
    };

    void detachConnections(backend &server);
    void apply(backend &server, const server_entry &entry);
    replica_view viewOf(backend &server, monotonic_time now);
    void refreshCold(backend &server, monotonic_time now);
    backend_connection *idleConnection(backend &server, monotonic_time now);
    void exchangeDone(const backend_server_id &server, backend_connection &connection, exchange_result result);
    void closedWhileIdle(const backend_server_id &server, backend_connection &connection);
    void drop(backend &server, backend_connection &connection);
    void sweep();
    void sweepServer(backend &server, monotonic_time now);
    void sweepDetached(monotonic_time now);
    void endAttempt(const backend_connection &connection, exchange_result result);

    reactor &m_loop;
    entry_settings m_settings;
    std::function<void(attempt_result)> m_done;
    std::shared_ptr<const routing_snapshot> m_view;
    std::map<backend_server_id, std::unique_ptr<backend>> m_servers;
    std::map<service_name, std::vector<backend *>> m_byService;
    std::map<const backend_connection *, attempt_id> m_attempts;
    std::map<attempt_id, attempt_place> m_places;
    // Busy connections to servers that were replaced.
    std::vector<std::unique_ptr<backend_connection>> m_detached;
    // Destroyed on the next sweep, because they may be closed from within their own callbacks.
    std::vector<std::unique_ptr<backend_connection>> m_retired;
    attempt_id m_nextAttempt = 1;
    std::minstd_rand m_random;
};

} // namespace daisystile
