#pragma once

#include "frame_reader.h"
#include "peer_handshake.h"

#include <functional>
#include <memory>
#include <string>

namespace daisystile {

/// What a link needs to prove itself and to judge the other side.
struct peer_credentials
{
    peer_identity self;
    std::string key;
};

/// One TCP connection between two daemons: handshake, then frames both ways.
class peer_link
{
public:
    struct callbacks
    {
        std::function<void(const peer_identity &)> established;
        std::function<void(std::string_view)> frame;
        /// Comes once; the link is of no use after it. May be destroyed from within.
        std::function<void(const connection_error &)> closed;
    };

    /// Takes over a connected, non-blocking socket.
    peer_link(reactor &loop, int handle, peer_credentials credentials, callbacks notify);
    /// Connects to an address.
    peer_link(reactor &loop, const ip_address &address, peer_credentials credentials, callbacks notify);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Queues a frame, to leave together with others of the same turn of the loop. False, and nothing
    /// queued, when the link is not established or its buffer is full.
    bool send(std::string_view payload);
    bool established() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace daisystile
