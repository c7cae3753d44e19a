#pragma once

#include "tool_settings.h"

namespace daisystile {

/// Blocking client of the operators' API; uses the first configured daemon that can be reached.
class admin_client
{
public:
    explicit admin_client(const tool_settings &settings);

    /// Returns the last failure if no daemon could be reached. A call that a daemon may have received is not sent to
    /// another one.
    http_result call(const std::string &method, const std::string &path, const std::string &body = "", std::vector<http_header> headers = {});
    /// Sleeps for the given time.
    void sleepFor(milliseconds time);

private:
    http_result callDaemon(const ip_address &address, http_call call);

    const tool_settings &m_settings;
    reactor m_loop;
    http_client m_http {m_loop};
};

} // namespace daisystile
