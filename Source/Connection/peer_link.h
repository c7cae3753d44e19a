#pragma once

#include "frame_reader.h"
#include "peer_handshake.h"

#include <functional>
#include <memory>
#include <string>

namespace daisystile {

/// Own identity and shared key, for authentication in both directions.
struct peer_credentials
{
    peer_identity self;
    std::string key;
};

/// One TCP connection between two daemons: a handshake, then frames in both directions.
class peer_link
{
public:
    struct callbacks
    {
        std::function<void(const peer_identity &)> established;
        std::function<void(std::string_view)> frame;
        /// Called at most once; the link can't be used after it. The callback may destroy the link.
        std::function<void(const connection_error &)> closed;
    };

    /// Takes over a connected, non-blocking socket.
    peer_link(reactor &loop, int handle, peer_credentials credentials, callbacks notify);
    /// Connects to an address.
    peer_link(reactor &loop, const ip_address &address, peer_credentials credentials, callbacks notify);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Queues a frame, to be sent together with others of the same iteration of the event loop. Returns false and queues
    /// nothing when the link is not established or its buffer is full.
    bool send(std::string_view payload);
    bool established() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace daisystile
