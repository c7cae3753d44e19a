#pragma once

#include <Version/version.h>

#include <functional>

namespace daisystile {

/// Follows the platform's head object and reads each record that it names.
class config_follower
{
public:
    using changed_callback = std::function<void(std::shared_ptr<const configuration>)>;

    config_follower(reactor &loop, platform_client &platform, changed_callback changed);

    void start();
    /// Reads the head now, as after a change through this daemon.
    void readSoon();
    /// Number of the newest head whose records are all held.
    std::uint64_t number() const;

private:
    void readHead(bool again);
    void readRecords(const config_head &head);
    void finishRound();

    reactor &m_loop;
    platform_client &m_platform;
    changed_callback m_changed;
    config_records m_records;
    std::shared_ptr<const configuration> m_config = std::make_shared<configuration>();
    std::uint64_t m_number = 0;
    std::uint64_t m_headNumber = 0;
    std::size_t m_reading = 0;
    bool m_incomplete = false;
};

} // namespace daisystile
