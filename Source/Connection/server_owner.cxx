#include "server_owner.h"

#include "backend_protocol.h"

namespace daisystile {

// Assumes servers with up to 4 slots: one connection for each slot and one for a cancellation while all slots are in use. If a
// server has more slots, further calls wait for a free connection. Successive owners, or both sides of a partition, together
// stay far below the 30 connections that a server accepts by default.
static constexpr long connectionsPerServer = 5;
static constexpr long maxTotalConnections = 16384;

server_owner::server_owner(reactor &loop, ownership_policy policy, answer_sink sink, idle_callback idle)
    : m_loop(loop),
      m_sink(std::move(sink)),
      m_http(loop, {connectionsPerServer, maxTotalConnections}),
      m_slots(loop, m_http, policy, std::move(idle))
{
    m_http.onIdleConnectionClosed([this](const closed_idle_connection &end) { m_slots.connectionEnded(end); });
}

void server_owner::setView(std::shared_ptr<const fleet_view> view)
{
    m_slots.setView(std::move(view));
}

void server_owner::change(const lease_change &change)
{
    m_slots.change(change);
}

slot_manager &server_owner::slots()
{
    return m_slots;
}

std::size_t server_owner::openAttempts() const
{
    return m_open.size();
}

void server_owner::search(const daemon_id &coordinator, const search_batch &batch)
{
    const auto shared = std::make_shared<const search_batch>(batch);
    const auto deadline = m_loop.now() + milliseconds {batch.deadlineMs};
    for (const auto &attempt : shared->attempts) {
        admit({coordinator, shared, attempt, deadline});
    }
}

void server_owner::admit(open_attempt attempt)
{
    const auto requestId = backendRequestId(attempt.batch->query, attempt.attempt);
    const auto [found, isNew] = m_open.try_emplace(requestId, std::move(attempt));
    // A repeat of an attempt that is still open is ignored; the attempt is answered once.
    if (!isNew) {
        return;
    }
    const auto &batch = *found->second.batch;
    slot_request request;
    request.service = batch.service;
    request.server = found->second.attempt.server;
    request.rank = batch.rank;
    request.deadline = found->second.deadline;
    request.request = batch.request;
    request.run = [this, requestId](slot_ticket_id ticket, const backend_server &server) {
        send(requestId, ticket, server);
    };
    request.refuse = [this, requestId](attempt_failure failure) {
        refuse(requestId, failure);
    };
    const auto ticket = m_slots.enter(std::move(request));
    // enter() may already have refused the request, which erases the entry.
    if (const auto waiting = m_open.find(requestId); waiting != m_open.end()) {
        waiting->second.ticket = ticket;
    }
}

void server_owner::send(const std::string &requestId, slot_ticket_id ticket, const backend_server &server)
{
    auto &attempt = m_open.at(requestId);
    attempt.ticket = ticket;
    attempt.sent = true;
    attempt.server = server.address;
    auto call = makeSearchCall(*attempt.batch, attempt.attempt, server.address, timeLeft(m_loop.now(), attempt.deadline));
    m_http.send(std::move(call), [this, requestId](http_result result) { finish(requestId, std::move(result)); });
}

void server_owner::finish(const std::string &requestId, http_result result)
{
    const auto entry = m_open.extract(requestId);
    if (entry.empty()) {
        return;
    }
    const auto &attempt = entry.mapped();
    auto response = readSearchAnswer(requestId, std::move(result));
    const auto slotOutcome = requestEndFor(response.failure);
    const auto ticket = attempt.ticket;
    if (slotOutcome == request_end::timed_out) {
        // The server may still be running the request; its slot is released after the cancellation.
        sendCancel(attempt, requestId, [this, ticket] { m_slots.leave(ticket, request_end::timed_out); });
    } else {
        m_slots.leave(ticket, slotOutcome);
    }
    answer(attempt, std::move(response));
}

void server_owner::refuse(const std::string &requestId, attempt_failure failure)
{
    const auto refused = m_open.extract(requestId);
    if (refused.empty()) {
        return;
    }
    shard_answer notRun;
    notRun.outcome = run_outcome::not_run;
    notRun.failure = failure;
    answer(refused.mapped(), std::move(notRun));
}

void server_owner::answer(const open_attempt &attempt, shard_answer answer)
{
    answer.query = attempt.batch->query;
    answer.shard = attempt.attempt.shard;
    answer.attempt = attempt.attempt.attempt;
    answer.server = attempt.attempt.server;
    answer.load = m_slots.loadOf(answer.server);
    m_sink(attempt.coordinator, std::move(answer));
}

void server_owner::cancel(const cancel_batch &batch)
{
    for (const auto &attempt : batch.attempts) {
        const auto requestId = backendRequestId(batch.query, attempt);
        const auto found = m_open.find(requestId);
        if (found == m_open.end()) {
            continue;
        }
        if (found->second.sent) {
            sendCancel(found->second, requestId, [] {});
        } else {
            m_slots.withdraw(found->second.ticket);
        }
    }
}

void server_owner::sendCancel(const open_attempt &attempt, const std::string &requestId, std::function<void()> done)
{
    m_http.send(makeCancelCall(attempt.server, requestId), [done = std::move(done)](const http_result &) { done(); });
}

} // namespace daisystile
