#pragma once

#include "backend_connection.h"
#include "coordinator_table.h"
#include "entry_settings.h"
#include "routing_snapshot.h"
#include "server_end_check.h"

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
    server_availability availability;
    server_limit limit;
    std::vector<std::unique_ptr<backend_connection>> connections;
    connection_share share;
    /// This daemon's share of the server's limits for the whole fleet.
    double limitShare = 1;
    monotonic_time coldUntil;
    /// Requests that may be sent now while the server is cold; refilled over time.
    double coldAllowance = 0;
    monotonic_time coldRefilled;
    /// Gets no more requests: draining, removed, in an evacuated domain, leaving, or misdirected.
    bool barred = false;
    /// Is in the current catalog.
    bool listed = false;
    /// When it was last removed from the catalog.
    monotonic_time unlistedSince;
    /// A server with another id answered at its address.
    bool misdirected = false;
    /// A malformed retry time, or a malformed limit, has been logged.
    bool malformedRetryLogged = false;
    bool malformedLimitLogged = false;
};

/// How an attempt on a server ended.
struct attempt_result
{
    attempt_id attempt;
    exchange_result exchange;
};

enum class limit_change {
    began,
    ended,
    malformed,
};

struct server_counts
{
    std::size_t usable = 0;
    /// Among the usable.
    std::size_t cold = 0;
    std::size_t barred = 0;
    /// Among the barred.
    std::size_t leaving = 0;
    /// Among the usable: have asked this daemon for a pause.
    std::size_t paused = 0;
    /// Among the usable: limit the requests of all daemons.
    std::size_t limited = 0;
};

/// All backend servers and the connections to them. Used on the traffic thread only.
class backend_pool
{
public:
    struct callbacks
    {
        std::function<void(attempt_result)> done;
        /// The attempt has lost its connection; done follows when it is known whether the server's process has ended.
        std::function<void(attempt_id)> checkingEnd;
        /// A server's answer has changed what this daemon may send it.
        std::function<void(const server_notice &)> noticed;
        /// A server has begun or ceased to limit requests, or has stated a limit that can't be read.
        std::function<void(limit_change)> limitChanged;
    };

    /// The account must outlive the pool.
    backend_pool(reactor &loop, const entry_settings &settings, memory_account &memory, callbacks notify);

    /// The coordinators must outlive the pool's use.
    void update(const std::shared_ptr<const routing_snapshot> &view, const coordinator_table &coordinators);
    void setBounds(const fleet_bounds &bounds);

    /// The best server of a service that can take a request now, is not excluded and is of this version, if one is given; null if
    /// there is none.
    backend *
    choose(const service_name &service, const std::vector<backend_server_id> &excluded, microseconds typicalLatency, const software_version *version = nullptr);
    /// Earliest time at which a server of the service that is not excluded may take a request, apart from its load: `now` at the
    /// latest if one may take it now; max() if there is no such server.
    monotonic_time availableFrom(const service_name &service,
        const std::vector<backend_server_id> &excluded,
        monotonic_time now,
        const software_version *version = nullptr) const;

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

    /// A running check of a server's end and the attempts whose results wait for it.
    struct end_check
    {
        std::unique_ptr<server_end_check> check;
        std::vector<std::pair<attempt_id, exchange_broken>> waiting;
    };

    void detachConnections(backend &server);
    void apply(backend &server, const server_entry &entry, const service_senders &senders);
    replica_view viewOf(backend &server, monotonic_time now);
    void refreshCold(backend &server, monotonic_time now);
    backend_connection *idleConnection(backend &server, monotonic_time now);
    void exchangeDone(const backend_server_id &server, backend_connection &connection, exchange_result result);
    /// Whether the loss of a connection may mean that the server's process has ended, and not as planned.
    static bool mayHaveEnded(const backend &server, const backend_connection &connection, const exchange_result &result);
    /// Whether it is a connection to the server's current process.
    static bool owns(const backend &server, const backend_connection &connection);
    /// Holds the attempt's result until it is known whether the server's process has ended.
    void checkEnd(const ip_address &address, attempt_id attempt, exchange_broken result);
    void endChecked(const ip_address &address, bool ended);
    void closedWhileIdle(const backend_server_id &server, backend_connection &connection);
    void noticed(const backend_server_id &server, const backend_connection &connection, const server_notice &notice);
    /// Takes what an answer states about the requests of all daemons.
    void takeLimit(backend &server, const server_answer &answer);
    void logLimitChange(backend &server, limit_change change) const;
    void logNotice(backend &server, const server_notice &notice) const;
    bool forgettable(const backend &server, monotonic_time now) const;
    void drop(backend &server, backend_connection &connection);
    void sweep();
    void sweepServer(backend &server, monotonic_time now);
    void sweepDetached(monotonic_time now);
    double draw();
    void endAttempt(const backend_connection &connection, exchange_result result);
    /// 0 if no attempt runs on the connection.
    attempt_id removeAttempt(const backend_connection &connection);

    reactor &m_loop;
    entry_settings m_settings;
    callbacks m_notify;
    std::shared_ptr<const routing_snapshot> m_view;
    const coordinator_table *m_coordinators = nullptr;
    // Declared before the connections, which return their shares when they are destroyed.
    buffer_budget m_answerBuffers;
    std::map<backend_server_id, std::unique_ptr<backend>> m_servers;
    std::map<service_name, std::vector<backend *>> m_byService;
    std::map<const backend_connection *, attempt_id> m_attempts;
    std::map<attempt_id, attempt_place> m_places;
    // Busy connections to servers that were replaced.
    std::vector<std::unique_ptr<backend_connection>> m_detached;
    // Destroyed on the next sweep, because they may be closed from within their own callbacks.
    std::vector<std::unique_ptr<backend_connection>> m_retired;
    std::map<ip_address, end_check> m_endChecks;
    attempt_id m_nextAttempt = 1;
    std::minstd_rand m_random;
};

} // namespace daisystile
