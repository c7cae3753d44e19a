#pragma once

#include "peer_link.h"
#include "peer_messages.h"

#include <functional>
#include <memory>
#include <vector>

namespace daisystile {

/// Where a peer listens.
struct peer_address
{
    daemon_id id;
    ip_address address;
};

/// A peer whose link was closed. Messages accepted by send() since the previous loss may or may not have arrived; if the
/// link was never established, none has.
struct peer_loss
{
    daemon_id id;
    bool neverEstablished = false;
};

/// All peer links of one thread. Accepts links, connects on demand, and queues messages until the handshake is complete.
class peer_network
{
public:
    struct callbacks
    {
        std::function<void(const peer_identity &, peer_message)> message;
        std::function<void(const peer_loss &)> lost;
    };

    peer_network(reactor &loop, peer_credentials credentials, callbacks notify);
    ~peer_network();
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;

    /// Listens, and returns the address with the actual port. Errors: those of openListeningSocket().
    leaf::result<ip_address> listen(const ip_address &address);

    /// Replaces the addresses of the known peers.
    void setPeers(const std::vector<peer_address> &peers);

    /// Returns false when the message will certainly not be sent: unknown peer, full buffer or message too long.
    bool send(const daemon_id &to, const peer_message &message);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
