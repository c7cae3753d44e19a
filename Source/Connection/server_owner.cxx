#include "server_owner.h"

#include "backend_protocol.h"

#include <algorithm>

namespace daisystile {

server_owner::server_owner(reactor &loop, const view_publisher &views, answer_sink sink)
    : m_loop(loop),
      m_views(views),
      m_sink(std::move(sink)),
      m_http(loop)
{
}

const backend_server *server_owner::findServer(const fleet_view &view, const service_name &service, const backend_server_id &server) const
{
    const auto found = view.config->services.find(service);
    if (found == view.config->services.end()) {
        return nullptr;
    }
    const auto &servers = found->second->servers;
    const auto match = std::find_if(servers.begin(), servers.end(), [&](const backend_server &candidate) { return candidate.id == server; });
    return match == servers.end() ? nullptr : &*match;
}

void server_owner::search(const daemon_id &coordinator, const search_batch &batch)
{
    const auto deadline = m_loop.now() + milliseconds {batch.deadlineMs};
    for (const auto &attempt : batch.attempts) {
        run(coordinator, batch, attempt, deadline);
    }
}

void server_owner::run(const daemon_id &coordinator, const search_batch &batch, const shard_attempt &attempt, monotonic_time deadline)
{
    const auto view = m_views.current();
    const auto *server = findServer(*view, batch.service, attempt.server);
    if (server == nullptr) {
        refuse(coordinator, batch, attempt, attempt_failure::not_owner);
        return;
    }
    const auto left = timeLeft(m_loop.now(), deadline);
    if (left == milliseconds::zero()) {
        refuse(coordinator, batch, attempt, attempt_failure::too_late);
        return;
    }
    auto call = makeSearchCall(batch, attempt, server->address, left);
    auto requestId = backendRequestId(batch.query, attempt);
    m_running[requestId] = {coordinator, batch.query, attempt, server->address, requestId};
    m_http.send(std::move(call), [this, requestId](http_result result) {
        auto running = m_running.extract(requestId);
        if (!running.empty()) {
            finish(running.mapped(), std::move(result));
        }
    });
}

void server_owner::finish(const running_attempt &running, http_result result)
{
    auto answer = readSearchAnswer(running.requestId, std::move(result));
    answer.query = running.query;
    answer.shard = running.attempt.shard;
    answer.attempt = running.attempt.attempt;
    answer.server = running.attempt.server;
    m_sink(running.coordinator, std::move(answer));
}

void server_owner::refuse(const daemon_id &coordinator, const search_batch &batch, const shard_attempt &attempt, attempt_failure failure)
{
    shard_answer answer;
    answer.query = batch.query;
    answer.shard = attempt.shard;
    answer.attempt = attempt.attempt;
    answer.server = attempt.server;
    answer.outcome = run_outcome::not_run;
    answer.failure = failure;
    m_sink(coordinator, std::move(answer));
}

void server_owner::cancel(const cancel_batch &batch)
{
    for (const auto &attempt : batch.attempts) {
        const auto found = m_running.find(backendRequestId(batch.query, attempt));
        if (found != m_running.end()) {
            m_http.send(makeCancelCall(found->second.server, found->second.requestId), [](const http_result &) {});
        }
    }
}

std::size_t server_owner::openAttempts() const
{
    return m_running.size();
}

} // namespace daisystile
