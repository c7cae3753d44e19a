#pragma once

#include "http_message.h"
#include "ip_address.h"
#include "reactor.h"

#include <functional>
#include <memory>
#include <string_view>

namespace daisystile {

enum class stream_end {
    connect_failed,
    /// This process has no descriptor, port or memory for a connection; nothing was sent to the peer.
    local_shortage,
    /// The peer closed the connection in order; all of its data was received.
    closed,
    reset,
};

/// A TCP connection on a reactor. It always reads, so that a close by the peer is detected at once.
class tcp_stream
{
public:
    struct callbacks
    {
        /// An outgoing connection is established.
        std::function<void()> opened;
        /// New bytes are available in input().
        std::function<void()> received;
        /// Called at most once, never after closeWhenSent() or abort(); the stream is unusable afterwards.
        std::function<void(stream_end)> ended;
        /// All queued bytes were sent. Not called for what the socket took at once, nor after closeWhenSent(). May be empty.
        std::function<void()> sent = {};
    };

    /// Takes ownership of an accepted connection.
    tcp_stream(reactor &loop, int handle, callbacks notify);
    /// Opens a connection; a failure is reported through `ended`.
    tcp_stream(reactor &loop, const ip_address &address, callbacks notify);
    /// Closes without a callback; may be called within one.
    ~tcp_stream();
    tcp_stream(const tcp_stream &) = delete;
    tcp_stream &operator=(const tcp_stream &) = delete;

    bool isOpen() const;
    byte_queue &input();
    const byte_queue &input() const;
    /// Sends, and queues the bytes that the socket doesn't accept yet. A failure is reported later through `ended`.
    void write(std::string_view bytes);
    /// Number of queued bytes that the socket has not accepted yet.
    std::size_t unsent() const;
    /// What the queued bytes take, also where their buffer isn't filled.
    std::size_t unsentReserved() const;
    /// Reads bytes that have arrived but were not reported yet; calls back like the event loop.
    void readPending();
    /// Closes after all queued bytes are sent; no more callbacks follow.
    void closeWhenSent();
    /// Closes at once and discards queued bytes; no more callbacks follow. May be called within a callback.
    void abort();
    /// Keeps the object until the descriptor is closed, which may be after the stream is destroyed.
    void keepUntilClosed(std::shared_ptr<void> object);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// Listens on an address and accepts TCP connections. While there is no descriptor or memory for one it rests for short times, and
/// logs when that begins and when it is over.
class tcp_listener
{
public:
    /// Errors: those of openListeningSocket().
    static leaf::result<std::unique_ptr<tcp_listener>> listen(reactor &loop, const ip_address &address, std::function<void(int handle)> accepted);

    tcp_listener();
    ~tcp_listener();
    tcp_listener(const tcp_listener &) = delete;
    tcp_listener &operator=(const tcp_listener &) = delete;

    ip_address address() const;
    /// Accepts a connection only if the callback, asked before each, allows it; else the listener rests for a moment.
    void acceptIf(std::function<bool()> allowed);
    /// Accepts the connections that are established but were not accepted yet. Closing the listener would reset them.
    void acceptPending();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
