#pragma once

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
        /// The connection was closed while no exchange was running.
        std::function<void(backend_connection &)> closedWhileIdle;
    };

    /// An idle connection expires after the given time, or earlier if the server's keep-alive time is shorter.
    backend_connection(reactor &loop, const ip_address &address, milliseconds longestIdle, callbacks notify);

    /// Sends the request once the connection is open. The exchange may be abandoned before that.
    void begin(const client_request_id &request, std::string bytes, bool bodyless);

    bool busy() const;
    bool isOpen() const;
    /// Can carry another exchange, now or once it is open.
    bool usable(monotonic_time now) const;
    /// No exchange is running and the server may close the connection soon.
    bool expired(monotonic_time now) const;
    /// Start of the current exchange.
    monotonic_time startedAt() const;

    /// The answer is no longer awaited. The exchange may still finish; after the given time the owner closes the connection.
    void abandon(monotonic_time until);
    /// Closes the connection; nothing more is sent and no callback is called.
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
    // Declared last, so that it is destroyed before the members that its callbacks use.
    tcp_stream m_stream;
};

} // namespace daisystile
