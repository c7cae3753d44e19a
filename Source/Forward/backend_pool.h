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

/// A backend server with this daemon's connections to it and what was seen of it.
struct backend
{
    server_entry entry;
    replica_stats record;
    std::vector<std::unique_ptr<backend_connection>> connections;
    connection_share share;
    monotonic_time coldUntil;
    /// Requests that may still be sent in this second while it is cold.
    double coldAllowance = 0;
    monotonic_time coldRefilled;
    /// Gets no more requests: draining, gone, evacuated or not who the entry says.
    bool barred = false;
    /// Stands in the catalog.
    bool listed = false;
    /// Another server answered at its address.
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

/// All backend servers and the connections to them, on the traffic thread.
class backend_pool
{
public:
    backend_pool(reactor &loop, const entry_settings &settings, std::function<void(attempt_result)> done);

    void update(const std::shared_ptr<const routing_snapshot> &view);
    void setBounds(const fleet_bounds &bounds);

    /// The best server of a service that can take a request now, none of the excluded; null when there is none.
    backend *choose(const service_name &service, const std::vector<backend_server_id> &excluded, microseconds pace);
    /// True when some server of the service, none of the excluded, could take a request now or after others end.
    bool hasServer(const service_name &service, const std::vector<backend_server_id> &excluded) const;

    /// Sends on a connection of the server, which choose() has just given.
    attempt_id send(backend &server, const client_request_id &request, std::string bytes, bool bodyless, milliseconds suspectAfter);
    /// The attempt's answer is of no more use; it is broken off if the server hasn't answered by then.
    void abandon(attempt_id attempt, monotonic_time breakOffAt);
    /// Marks what the answer to an attempt showed of its server.
    void answered(const backend_server_id &server, attempt_id attempt, microseconds pace);
    void failed(const backend_server_id &server, attempt_id attempt, double weight);
    void misdirected(const backend_server_id &server);

    /// Servers of the catalog, by state.
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
    // Busy connections of servers that were replaced.
    std::vector<std::unique_ptr<backend_connection>> m_detached;
    // Freed once their own callbacks are over.
    std::vector<std::unique_ptr<backend_connection>> m_retired;
    attempt_id m_nextAttempt = 1;
    std::minstd_rand m_random;
};

} // namespace daisystile
