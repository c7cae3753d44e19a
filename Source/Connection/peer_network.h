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

/// A peer whose link ended. What was accepted by send() since the last link loss may or may not have arrived,
/// but for a link that was never established: then nothing has.
struct peer_loss
{
    daemon_id id;
    bool neverEstablished = false;
};

/// All peer links of one thread: accepts, connects when needed, and holds messages back until the handshake is done.
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

    /// Listens; the address has the port in use. Errors: process_error{address_in_use}.
    leaf::result<ip_address> listen(const ip_address &address);

    /// Replaces the known peers; links to others end.
    void setPeers(const std::vector<peer_address> &peers);

    /// False when the message certainly does not leave: unknown peer or full buffer.
    bool send(const daemon_id &to, const peer_message &message);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
