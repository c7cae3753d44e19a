#pragma once

#include <platform/platform.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace daisystile {

/// A whole answer to the request that was sent.
struct exchange_answer
{
    response_message message;
    server_answer answer;
};

/// The exchange ended without an answer.
struct exchange_broken
{
    /// False when no byte of the request can have reached the server.
    bool mayHaveRun = true;
    std::string_view reason;
};

using exchange_result = std::variant<exchange_answer, exchange_broken>;

/// One connection to a backend server; carries one request at a time.
class backend_connection
{
public:
    struct callbacks
    {
        /// An exchange ended; the connection may already be of no more use, see usable().
        std::function<void(backend_connection &, exchange_result)> done;
        /// The connection ended while no exchange ran.
        std::function<void(backend_connection &)> closedWhileIdle;
    };

    /// Idle, it counts as expired after the time given, or earlier if the server says so.
    backend_connection(reactor &loop, const ip_address &address, milliseconds longestIdle, callbacks notify);

    /// Sends once the connection is open. The exchange may be abandoned meanwhile.
    void begin(const client_request_id &request, std::string bytes, bool bodyless);

    bool busy() const;
    bool isOpen() const;
    /// Can carry another exchange now or once it is open.
    bool usable(monotonic_time now) const;
    /// No exchange runs and the server may close it soon.
    bool expired(monotonic_time now) const;
    /// When the exchange that runs began.
    monotonic_time startedAt() const;

    /// The answer is no longer awaited; the exchange ends by itself or is broken off by its owner after a while.
    void abandon(monotonic_time until);
    /// Sends nothing any more and calls nobody back.
    void close();
    bool abandonExpired(monotonic_time now) const;

private:
    void opened();
    void received();
    void ended(stream_end how);
    void takeAnswer(response_message message);
    void finish(exchange_result result);

    reactor &m_loop;
    milliseconds m_longestIdle;
    callbacks m_notify;
    response_reader m_reader;
    client_request_id m_request;
    std::string m_pending;
    bool m_busy = false;
    bool m_sent = false;
    bool m_closing = false;
    bool m_ended = false;
    monotonic_time m_startedAt;
    monotonic_time m_idleUntil = monotonic_time::max();
    monotonic_time m_abandonedUntil = monotonic_time::max();
    // Last, so that its callbacks end before the rest does.
    tcp_stream m_stream;
};

} // namespace daisystile
