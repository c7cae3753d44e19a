#pragma once

#include "peer_messages.h"

#include <functional>
#include <map>
#include <memory>

namespace daisystile {

/// Runs shard requests on the backend servers that this daemon owns; lives on the traffic thread.
class server_owner
{
public:
    using answer_sink = std::function<void(const daemon_id &, shard_answer)>;

    server_owner(reactor &loop, const view_publisher &views, answer_sink sink);

    /// Each attempt is answered exactly once through the sink.
    void search(const daemon_id &coordinator, const search_batch &batch);
    /// Attempts under way are dropped at the server; their answers still come, as cancelled.
    void cancel(const cancel_batch &batch);
    std::size_t openAttempts() const;

private:
    struct running_attempt
    {
        daemon_id coordinator;
        query_reference query;
        shard_attempt attempt;
        ip_address server;
        std::string requestId;
    };

    void run(const daemon_id &coordinator, const search_batch &batch, const shard_attempt &attempt, monotonic_time deadline);
    void finish(const running_attempt &running, http_result result);
    void refuse(const daemon_id &coordinator, const search_batch &batch, const shard_attempt &attempt, attempt_failure failure);
    const backend_server *findServer(const fleet_view &view, const service_name &service, const backend_server_id &server) const;

    reactor &m_loop;
    const view_publisher &m_views;
    answer_sink m_sink;
    http_client m_http;
    std::map<std::string, running_attempt> m_running;
};

} // namespace daisystile
