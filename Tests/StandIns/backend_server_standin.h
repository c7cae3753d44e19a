#pragma once

#include "backend_server_model.h"
#include "standin_support.h"

#include <list>
#include <unordered_map>

namespace daisystile {

/// Counts how often each execute request was started and finished on the servers of the process, by idempotency key,
/// or by request id if there is no key.
struct execution_records
{
    struct execution
    {
        std::uint32_t started = 0;
        std::uint32_t finished = 0;
        std::vector<std::string> servers;
    };

    std::map<std::string, execution> executions;
    std::uint64_t searches = 0;
    std::uint64_t executes = 0;
};

/// HTTP server on its own address that carries out what a backend_server_model decides.
class backend_server_standin
{
public:
    backend_server_standin(reactor &loop, standin_spec spec, std::uint64_t seed, execution_records &records);
    ~backend_server_standin();
    backend_server_standin(const backend_server_standin &) = delete;
    backend_server_standin &operator=(const backend_server_standin &) = delete;

    ip_address address() const;
    backend_server_model &model();
    /// Drops all connections and restarts, cold, after restartMs.
    void crash();
    /// Drops the connections of all hanging requests. Called once a collapse or a stall has ended.
    void dropHangingRequests();
    void updatePeakConnections();

private:
    struct active_request
    {
        std::string requestId;
        http_responder respond;
        timer_id timer = 0;
    };
    using request_list = std::list<active_request>;

    void listen();
    void receive(const http_request &request, const http_responder &respond);
    void begin(const http_request &request, const http_responder &respond, std::optional<std::uint32_t> shard);
    void run(const http_request &request, const http_responder &respond, const response_plan &plan, std::optional<std::uint32_t> shard);
    void finish(request_list::iterator entry, http_response response, bool drop);
    void schedule(request_list::iterator entry, double delayMs, std::function<void()> callback);
    http_response makeResponse(const http_request &request, const response_plan &plan, std::optional<std::uint32_t> shard);
    http_response rejectionResponse(request_outcome outcome) const;
    http_response cancel(const std::string &requestId);
    http_response health();
    http_response load();
    void recordStart(const http_request &request) const;
    void recordFinish(const http_request &request) const;

    reactor &m_loop;
    backend_server_model m_model;
    execution_records &m_records;
    ip_address m_address;
    // Bound socket that keeps other processes from getting the port while the server is down.
    int m_portReservation = -1;
    std::unique_ptr<http_server> m_server;
    request_list m_requests;
    /// Status 0 before the first response.
    http_response m_previousResponse {.status = 0};
    std::uint32_t m_reportedLoad = 0;
    monotonic_time m_loadReportedAt {};
    double m_delayRemainderMs = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisystile
