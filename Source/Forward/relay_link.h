#pragma once

#include "relay_messages.h"

#include <Connection/connection.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace daisystile {

/// Accepts connections from daemons that follow this one and sends them updates.
class relay_server
{
public:
    /// The callback returns the initial update for a new follower, or nothing until one is available.
    relay_server(reactor &loop, peer_credentials credentials, std::function<std::optional<relay_update>()> first);

    /// The callback answers a follower's question, or returns nothing.
    void onAgeQuestion(std::function<std::optional<relay_update>(const age_question &)> answer);

    /// Listens as soon as the address is free. Tells whether it listens: false once it has to wait, then true.
    void listen(const ip_address &address, std::function<void(bool)> listens);
    /// New links use this key; established ones stay.
    void setKey(std::string key);
    /// Established links stay.
    void stopListening();
    void broadcast(const relay_update &update);

private:
    struct follower
    {
        std::unique_ptr<peer_link> link;
        bool initialSent = false;
    };

    void accepted(int handle);
    void sendInitial(follower &target);
    void asked(std::uint64_t number, std::string_view frame);

    reactor &m_loop;
    peer_credentials m_credentials;
    std::function<std::optional<relay_update>()> m_first;
    std::function<std::optional<relay_update>(const age_question &)> m_answerAge;
    std::unique_ptr<tcp_listener> m_listener;
    std::unique_ptr<address_opener> m_opener;
    std::map<std::uint64_t, follower> m_followers;
    std::uint64_t m_next = 1;
};

/// Follows another daemon; fails if it receives nothing for a while.
class relay_client
{
public:
    struct callbacks
    {
        std::function<void(relay_update)> updated;
        /// Called once; the client can't be used afterwards.
        std::function<void()> failed;
    };

    relay_client(reactor &loop, const ip_address &address, peer_credentials credentials, callbacks notify);
    ~relay_client();
    /// The answer comes with an update.
    void askAge(std::string counts);
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
