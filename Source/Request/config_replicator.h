#pragma once

#include <Connection/connection.h>

#include <functional>
#include <map>
#include <memory>

namespace daisystile {

/// Performs the actions of config_sync on the control thread: platform reads and watches, and messages to peers.
class config_replicator
{
public:
    struct callbacks
    {
        /// The current configuration or its readiness has changed.
        std::function<void(std::shared_ptr<const configuration>, bool ready)> changed;
        std::function<void(const daemon_id &, const config_digest &)> sendDigest;
        std::function<void(const daemon_id &, const peer_message &)> sendPeer;
    };

    config_replicator(reactor &loop, platform_client &platform, const member &self, callbacks handlers);

    void start();
    void decide(const config_sync_event &event);
    std::uint64_t number() const;
    config_digest digest() const;

private:
    void tick();
    void perform(const send_digest &action);
    void perform(const send_pull &action);
    void perform(const send_update &action);
    void perform(const list_head &action);
    void perform(const read_record &action);
    void perform(const watch_head &action);
    void perform(const stop_watch &action);
    void perform(const config_changed &action);

    reactor &m_loop;
    platform_client &m_platform;
    callbacks m_callbacks;
    config_sync m_sync;
    std::shared_ptr<const configuration> m_config = std::make_shared<configuration>();
    http_call_id m_watch = 0;
    /// Incremented with each watch, so that the result of an earlier watch is ignored.
    std::uint64_t m_watchNumber = 0;
};

} // namespace daisystile
