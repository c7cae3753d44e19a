#pragma once

#include "buffer_budget.h"

#include <platform/platform.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace daisystile {

/// A complete answer to the request that was sent.
struct exchange_answer
{
    response_message message;
    server_answer answer;
};

/// The exchange ended without an answer.
struct exchange_broken
{
    /// False if no byte of the request can have reached the server.
    bool mayHaveRun = true;
    std::string_view reason;
    /// The server closed or reset the connection.
    bool connectionLost = false;
    /// The server's process ended meanwhile.
    bool serverEnded = false;
    /// This process could open no connection, which says nothing about the server.
    bool localShortage = false;
    /// Nobody waited for the answer any longer.
    bool abandoned = false;
};

using exchange_result = std::variant<exchange_answer, exchange_broken>;

/// One connection to a backend server; carries one request at a time.
class backend_connection
{
public:
    struct callbacks
    {
        /// An exchange ended. The connection may no longer be usable, see usable().
        std::function<void(backend_connection &, exchange_result)> done;
        /// The server closed or reset the connection, or sent bytes, while no exchange was running. The connection can't
        /// be used any more.
        std::function<void(backend_connection &)> closedWhileIdle;
        /// An answer, possibly not the awaited one, states something about further requests. Called as soon as its head has
        /// been read, before the exchange ends.
        std::function<void(backend_connection &, const server_notice &)> noticed;
    };

    /// An idle connection expires after the given time, or earlier if the server's keep-alive time is shorter. The answer is
    /// buffered within the budget, which must outlive the connection.
    backend_connection(reactor &loop, const ip_address &address, milliseconds maxIdle, buffer_budget &budget, callbacks notify);

    /// Sends the request once the connection is open; the exchange may be abandoned before the connection is open. If
    /// `bodyless` is set, the response has no body, whatever its headers say, as in a response to HEAD.
    void begin(const client_request_id &request, std::string bytes, bool bodyless);

    bool busy() const;
    bool isOpen() const;
    /// Can carry another exchange, now or once it is open.
    bool usable(monotonic_time now) const;
    /// No exchange is running and none can follow: the idle time is over, the connection was closed, or an earlier answer
    /// rules out its reuse.
    bool expired(monotonic_time now) const;
    /// Time of the last call of begin(); before the first one, the time at which the connection was created.
    monotonic_time startedAt() const;

    /// The answer is no longer awaited. The exchange may still finish up to the point in time `until`; if it is running then,
    /// abandonExpired() becomes true and the owner closes the connection.
    void abandon(monotonic_time until);
    /// Closes the connection; nothing more is sent and no callback is called.
    void close();
    bool abandonExpired(monotonic_time now) const;

private:
    void opened();
    void received();
    void ended(stream_end how);
    read_progress read();
    response_message take();
    void takeAnswer(response_message message);
    void finish(exchange_result result);
    void chargeRequest();

    reactor &m_loop;
    milliseconds m_maxIdle;
    callbacks m_notify;
    response_reader m_reader;
    buffer_share m_buffered;
    // The copy of the request that the server has not taken yet.
    memory_charge m_unsent;
    client_request_id m_request;
    std::string m_pending;
    bool m_busy = false;
    bool m_sent = false;
    // The head of the current answer has been checked for a notice.
    bool m_headChecked = false;
    bool m_closing = false;
    bool m_ended = false;
    monotonic_time m_startedAt;
    monotonic_time m_idleUntil = monotonic_time::max();
    monotonic_time m_abandonedUntil = monotonic_time::max();
    // Declared last, so that it is destroyed before the members that its callbacks use.
    tcp_stream m_stream;
};

} // namespace daisystile
