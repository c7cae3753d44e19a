#pragma once

#include <Process/process.h>

#include <functional>
#include <memory>

namespace daisystile {

/// Finds out whether a backend server's process has ended, after it closed a connection under a request: an address at which no
/// process listens refuses a new connection. A server that can't be reached says nothing, so it doesn't count as ended.
class server_end_check
{
public:
    /// Calls back once, later, unless it is destroyed first.
    server_end_check(reactor &loop, ip_address address, std::function<void(bool ended)> done);
    ~server_end_check();
    server_end_check(const server_end_check &) = delete;
    server_end_check &operator=(const server_end_check &) = delete;

private:
    void connect();
    void finish(bool ended);

    reactor &m_loop;
    ip_address m_address;
    std::function<void(bool)> m_done;
    timer_id m_timer = 0;
    std::unique_ptr<tcp_stream> m_stream;
};

} // namespace daisystile
