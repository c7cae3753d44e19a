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
    /// The peer closed in order; all its bytes were received.
    closed,
    reset,
};

/// A TCP connection on a reactor. Reading never stops, so that the peer's end is seen at once.
class tcp_stream
{
public:
    struct callbacks
    {
        /// A connection that was being opened is open.
        std::function<void()> opened;
        /// New bytes are in input().
        std::function<void()> received;
        /// Comes once, never after close(); the stream is of no more use.
        std::function<void(stream_end)> ended;
    };

    /// Takes an accepted connection.
    tcp_stream(reactor &loop, int handle, callbacks notify);
    /// Opens a connection; fails through the callback.
    tcp_stream(reactor &loop, const ip_address &address, callbacks notify);
    /// Closes without a callback; allowed within one.
    ~tcp_stream();
    tcp_stream(const tcp_stream &) = delete;
    tcp_stream &operator=(const tcp_stream &) = delete;

    bool isOpen() const;
    byte_queue &input();
    /// Sends, or queues what the system does not take now. A failure comes through the callback later.
    void write(std::string_view bytes);
    /// Bytes that the system has not taken yet.
    std::size_t unsent() const;
    /// Closes once everything queued is sent; no more callbacks.
    void closeWhenSent();
    /// Closes at once, whatever is queued; no more callbacks. Allowed within one.
    void abort();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// Accepts connections.
class tcp_listener
{
public:
    /// Errors: process_error{address_in_use}.
    static leaf::result<std::unique_ptr<tcp_listener>> listen(reactor &loop, const ip_address &address, std::function<void(int handle)> accepted);

    tcp_listener();
    ~tcp_listener();
    tcp_listener(const tcp_listener &) = delete;
    tcp_listener &operator=(const tcp_listener &) = delete;

    ip_address address() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
