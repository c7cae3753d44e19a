#pragma once

#include "relay_messages.h"

#include <Connection/connection.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace daisystile {

/// Accepts daemons that follow this one and tells them what changes.
class relay_server
{
public:
    /// The callback makes the first update for a new follower, once there is something to tell.
    relay_server(reactor &loop, peer_credentials credentials, std::function<std::optional<relay_update>()> first);

    /// Errors: process_error{address_in_use}.
    leaf::result<void> listen(const ip_address &address);
    void broadcast(const relay_update &update);

private:
    struct follower
    {
        std::unique_ptr<peer_link> link;
        bool told = false;
    };

    void accepted(int handle);
    void sendInitial(follower &each);

    reactor &m_loop;
    peer_credentials m_credentials;
    std::function<std::optional<relay_update>()> m_first;
    std::unique_ptr<tcp_listener> m_listener;
    std::map<std::uint64_t, follower> m_followers;
    std::uint64_t m_next = 1;
};

/// Follows another daemon; ends when it says nothing for a while.
class relay_client
{
public:
    struct callbacks
    {
        std::function<void(relay_update)> updated;
        /// Comes once; the client is of no use after it.
        std::function<void()> failed;
    };

    relay_client(reactor &loop, const ip_address &address, peer_credentials credentials, callbacks notify);
    ~relay_client();
    relay_client(const relay_client &) = delete;
    relay_client &operator=(const relay_client &) = delete;

private:
    void received(std::string_view frame);
    void check();
    void fail();

    reactor &m_loop;
    callbacks m_notify;
    monotonic_time m_lastReceived;
    timer_id m_timer = 0;
    bool m_failed = false;
    std::unique_ptr<peer_link> m_link;
};

} // namespace daisystile
