#pragma once

#include "backend_server_model.h"
#include "standin_support.h"

#include <list>
#include <unordered_map>

namespace daisystile {

/// How often each idempotency key, and each request id, was run; over all servers of the process.
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

/// One backend server with its own address: the model's verdicts over HTTP.
class backend_server_standin
{
public:
    backend_server_standin(reactor &loop, standin_spec spec, std::uint64_t seed, execution_records &records);
    ~backend_server_standin();
    backend_server_standin(const backend_server_standin &) = delete;
    backend_server_standin &operator=(const backend_server_standin &) = delete;

    ip_address address() const;
    backend_server_model &model();
    /// Drops all connections and comes back after the time to restart, cold.
    void crash();
    /// Makes a running crash, a drain or a stall end at once for requests that hang.
    void dropHanging();
    void noteConnections();

private:
    struct running_work
    {
        std::string requestId;
        http_responder respond;
        timer_id timer = 0;
    };
    using work_list = std::list<running_work>;

    void listen();
    void receive(const http_request &request, const http_responder &respond);
    void begin(const http_request &request, const http_responder &respond, std::optional<std::uint32_t> shard);
    void run(const http_request &request, const http_responder &respond, const work_plan &plan, std::optional<std::uint32_t> shard);
    void finish(work_list::iterator work, http_response response, bool drop);
    void schedule(work_list::iterator work, double delayMs, std::function<void()> callback);
    http_response answer(const http_request &request, const work_plan &plan, std::optional<std::uint32_t> shard);
    http_response refuse(work_verdict verdict) const;
    http_response cancel(const std::string &requestId);
    http_response health();
    http_response load();
    void recordStart(const http_request &request) const;
    void recordFinish(const http_request &request) const;

    reactor &m_loop;
    backend_server_model m_model;
    execution_records &m_records;
    ip_address m_address;
    // Keeps the port from being given to others while the server is down.
    int m_portHolder = -1;
    std::unique_ptr<http_server> m_server;
    work_list m_work;
    /// Status 0 before the first answer.
    http_response m_lastAnswer {.status = 0};
    std::uint32_t m_shownLoad = 0;
    monotonic_time m_shownAt {};
    double m_owedMs = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisystile
