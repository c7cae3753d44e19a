#include "server_end_check.h"

namespace daisystile {

namespace {

// A process that ends may close its connections shortly before its listening socket.
constexpr milliseconds connectDelay {10};
constexpr milliseconds connectTimeout {100};

} // namespace

server_end_check::server_end_check(reactor &loop, ip_address address, std::function<void(bool)> done)
    : m_loop(loop),
      m_address(std::move(address)),
      m_done(std::move(done)),
      m_timer(loop.after(connectDelay, [this] { connect(); }))
{
}

server_end_check::~server_end_check()
{
    m_loop.cancelTimer(m_timer);
}

void server_end_check::connect()
{
    m_timer = m_loop.after(connectTimeout, [this] { finish(false); });
    m_stream = std::make_unique<tcp_stream>(m_loop,
        m_address,
        tcp_stream::callbacks {.opened = [this] { finish(false); },
            .received = [] {},
            .ended =
                [this](stream_end how) {
                    finish(how == stream_end::connect_failed);
                }});
}

// The callback may destroy the check.
void server_end_check::finish(bool ended)
{
    m_loop.cancelTimer(std::exchange(m_timer, 0));
    if (const auto done = std::exchange(m_done, nullptr)) {
        done(ended);
    }
}

} // namespace daisystile
