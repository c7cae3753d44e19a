#include "execute_runner.h"

#include "backend_protocol.h"

namespace daisystile {

static constexpr int statusDone = 200;
static constexpr int statusSnapshotNotHeld = 409;
static constexpr int statusShardNotHere = 421;
static constexpr int statusShed = 503;
// A duplicate that arrives more than this after the deadline is refused as too late anyway.
static constexpr milliseconds duplicateWindow {60000};

std::string backendRequestId(const query_reference &query)
{
    return query.coordinator.value + '-' + std::to_string(query.incarnationNumber.value) + '-' + std::to_string(query.query.value);
}

http_call makeExecuteCall(const execute_request &request, const ip_address &server, milliseconds left)
{
    http_call call;
    call.method = "POST";
    call.address = server;
    call.path = "/execute";
    call.headers = {{"Idempotency-Key", request.key.value}, {"Request-Id", backendRequestId(request.query)}, {"Deadline", std::to_string(left.count())}};
    call.body = request.body;
    call.timeout = left;
    call.newConnection = true;
    return call;
}

static execute_answer ended(run_outcome outcome, attempt_failure failure)
{
    execute_answer answer;
    answer.outcome = outcome;
    answer.failure = failure;
    return answer;
}

static execute_answer readReply(const std::string &requestId, http_reply reply)
{
    switch (reply.status) {
    case statusSnapshotNotHeld:
        return ended(run_outcome::not_run, attempt_failure::snapshot_not_held);
    case statusShardNotHere:
        return ended(run_outcome::not_run, attempt_failure::shard_not_here);
    case statusShed:
        return ended(run_outcome::not_run, readUnavailableReason(reply.body));
    case statusDone:
        break;
    default:
        return ended(run_outcome::unknown, attempt_failure::malformed);
    }
    const auto found = reply.headers.find("request-id");
    if (found == reply.headers.end() || found->second != requestId) {
        return ended(run_outcome::unknown, attempt_failure::malformed);
    }
    auto answer = ended(run_outcome::done, attempt_failure::none);
    answer.body = std::move(reply.body);
    return answer;
}

execute_answer readExecuteAnswer(const std::string &requestId, http_result result)
{
    if (auto *reply = std::get_if<http_reply>(&result)) {
        return readReply(requestId, std::move(*reply));
    }
    const auto &failure = std::get<http_failure>(result);
    const auto outcome = failure.mayHaveBeenSent ? run_outcome::unknown : run_outcome::not_run;
    return ended(outcome, failure.kind == http_failure_kind::timed_out ? attempt_failure::timed_out : attempt_failure::server_lost);
}

execute_runner::execute_runner(reactor &loop, callbacks notify)
    : m_loop(loop),
      m_notify(std::move(notify)),
      m_http(loop)
{
}

std::size_t execute_runner::openRequests() const
{
    return m_open;
}

bool execute_runner::isDuplicate(const execute_request &request, monotonic_time deadline)
{
    const auto now = m_loop.now();
    while (!m_seenOrder.empty() && m_seenOrder.front().until <= now) {
        m_seen.erase(m_seenOrder.front().query);
        m_seenOrder.pop_front();
    }
    if (!m_seen.insert(request.query).second) {
        return true;
    }
    m_seenOrder.push_back({deadline + duplicateWindow, request.query});
    return false;
}

void execute_runner::run(const daemon_id &from, execute_request request)
{
    const auto deadline = m_loop.now() + milliseconds {request.deadlineMs};
    if (isDuplicate(request, deadline)) {
        return;
    }
    m_open += 1;
    const auto entered = std::make_shared<const entered_request>(entered_request {from, std::move(request), deadline});
    slot_request slot;
    slot.service = entered->request.service;
    slot.server = entered->request.server;
    slot.rank = entered->request.rank;
    slot.deadline = deadline;
    slot.request = entered->request.request;
    slot.run = [this, entered](slot_ticket_id ticket, const backend_server &server) {
        send(*entered, ticket, server);
    };
    slot.refuse = [this, entered](attempt_failure failure) {
        finish(*entered, ended(run_outcome::not_run, failure));
    };
    m_notify.enter(std::move(slot));
}

void execute_runner::send(const entered_request &entered, slot_ticket_id ticket, const backend_server &server)
{
    const auto left = timeLeft(m_loop.now(), entered.deadline);
    if (left == milliseconds::zero()) {
        m_notify.leave(ticket, request_end::neutral);
        finish(entered, ended(run_outcome::not_run, attempt_failure::too_late));
        return;
    }
    const auto call = makeExecuteCall(entered.request, server.address, left);
    m_http.send(call, [this, entered, ticket](http_result result) {
        auto answer = readExecuteAnswer(backendRequestId(entered.request.query), std::move(result));
        m_notify.leave(ticket, requestEndFor(answer.failure));
        finish(entered, std::move(answer));
    });
}

void execute_runner::finish(const entered_request &entered, execute_answer answer)
{
    m_open -= 1;
    answer.query = entered.request.query;
    m_notify.answer(entered.from, std::move(answer));
}

} // namespace daisystile
