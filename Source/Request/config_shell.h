#pragma once

#include <Connection/connection.h>

#include <functional>
#include <map>
#include <memory>

namespace daisystile {

/// Carries out what config_spread decides, on the control thread.
class config_shell
{
public:
    struct callbacks
    {
        /// The configuration in force, or whether it may be served, is no longer what it was.
        std::function<void(std::shared_ptr<const configuration>, bool ready)> changed;
        std::function<void(const daemon_id &, const config_digest &)> sendDigest;
        std::function<void(const daemon_id &, const peer_message &)> sendPeer;
    };

    config_shell(reactor &loop, platform_client &platform, const member &self, callbacks daemon);

    void start();
    void decide(const spread_event &event);
    std::uint64_t number() const;
    config_digest digest() const;

private:
    void tick();
    void carryOut(const send_digest &action);
    void carryOut(const send_pull &action);
    void carryOut(const send_update &action);
    void carryOut(const list_head &action);
    void carryOut(const read_record &action);
    void carryOut(const watch_head &action);
    void carryOut(const stop_watch &action);
    void carryOut(const config_changed &action);

    reactor &m_loop;
    platform_client &m_platform;
    callbacks m_daemon;
    config_spread m_spread;
    std::shared_ptr<const configuration> m_config = std::make_shared<configuration>();
    http_call_id m_watch = 0;
    /// Counted up with each watch, so that the end of an earlier one is not taken for this one's.
    std::uint64_t m_watchNumber = 0;
};

} // namespace daisystile
