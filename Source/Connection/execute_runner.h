#pragma once

#include "slot_manager.h"

#include <deque>
#include <functional>
#include <set>

namespace daisystile {

/// Runs execute requests on the backend servers that this daemon owns. A request is sent at most once.
class execute_runner
{
public:
    struct callbacks
    {
        std::function<void(const daemon_id &, execute_answer)> answer;
        std::function<void(slot_request)> enter;
        /// A request that got a slot has ended.
        std::function<void(slot_ticket_id, request_end)> leave;
    };

    execute_runner(reactor &loop, callbacks notify);

    /// Each request is answered exactly once; duplicates are dropped.
    void run(const daemon_id &from, execute_request request);
    std::size_t openRequests() const;

private:
    struct entered_request
    {
        daemon_id from;
        execute_request request;
        monotonic_time deadline;
    };
    struct seen_request
    {
        monotonic_time until;
        query_reference query;
    };

    bool isDuplicate(const execute_request &request, monotonic_time deadline);
    void send(const entered_request &entered, slot_ticket_id ticket, const backend_server &server);
    void finish(const entered_request &entered, execute_answer answer);

    reactor &m_loop;
    callbacks m_notify;
    http_client m_http;
    std::set<query_reference> m_seen;
    std::deque<seen_request> m_seenOrder;
    std::size_t m_open = 0;
};

/// The request's id at a backend server.
std::string backendRequestId(const query_reference &query);
http_call makeExecuteCall(const execute_request &request, const ip_address &server, milliseconds left);
/// The outcome is not_run only if no byte can have reached the server or the server reported that it did not run.
execute_answer readExecuteAnswer(const std::string &requestId, http_result result);

} // namespace daisystile
