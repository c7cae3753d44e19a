#pragma once

#include "tool_settings.h"

namespace daisystile {

/// Calls the operators' API of the first daemon that can be reached, and waits.
class admin_client
{
public:
    explicit admin_client(const tool_settings &settings);

    /// The last failure when no daemon could be reached; a call that may have arrived is not sent elsewhere.
    http_result call(const std::string &method, const std::string &path, const std::string &body = "", std::vector<http_header> headers = {});
    /// Waits without a call.
    void pause(milliseconds time);

private:
    http_result callOne(const ip_address &address, http_call call);

    const tool_settings &m_settings;
    reactor m_loop;
    http_client m_http {m_loop};
};

} // namespace daisystile
