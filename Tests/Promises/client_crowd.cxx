#include "client_crowd.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace daisystile {

namespace {

// A crowd that never comes to rest is left after this time; it isn't judged by it.
constexpr seconds maxRun {60};
constexpr int restMs = 1000;
constexpr int smallBufferBytes = 4096;

} // namespace

client_crowd::client_crowd(const ip_address &address, int members, plan crowdPlan)
    : m_address(address),
      m_plan(std::move(crowdPlan)),
      m_members(static_cast<std::size_t>(members))
{
    for (auto &each : m_members) {
        open(each);
    }
}

client_crowd::~client_crowd()
{
    for (const auto &each : m_members) {
        if (each.handle >= 0) {
            close(each.handle);
        }
    }
}

void client_crowd::open(member &each)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(m_address.port);
    inet_pton(AF_INET, m_address.host.c_str(), &target.sin_addr);
    each = {socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), 0};
    if (!m_plan.reads) {
        setsockopt(each.handle, SOL_SOCKET, SO_RCVBUF, &smallBufferBytes, sizeof smallBufferBytes);
    }
    static_cast<void>(connect(each.handle, reinterpret_cast<const sockaddr *>(&target), sizeof target));
}

void client_crowd::run()
{
    const auto end = monotonicNow() + maxRun;
    std::vector<pollfd> watched(m_members.size());
    int ready = 1;
    while (ready > 0 && monotonicNow() < end) {
        if (m_stopped) {
            return;
        }
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            const auto &each = m_members[i];
            const int events = (m_plan.reads ? POLLIN : 0) | (each.sent < m_plan.bytes.size() ? POLLOUT : 0);
            watched[i] = {each.handle, static_cast<short>(events), 0};
        }
        ready = poll(watched.data(), watched.size(), restMs);
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            serve(m_members[i], watched[i].revents);
        }
    }
}

void client_crowd::stop()
{
    m_stopped = true;
}

void client_crowd::serve(member &each, short events)
{
    if ((events & POLLOUT) != 0) {
        send(each);
    }
    if (each.handle >= 0 && (events & POLLIN) != 0) {
        receive(each);
    }
    if (each.handle >= 0 && (events & (POLLERR | POLLHUP)) != 0) {
        left(each);
    }
}

void client_crowd::send(member &each)
{
    const auto rest = m_plan.bytes.size() - each.sent;
    const auto count = ::send(each.handle, m_plan.bytes.data() + each.sent, m_plan.pieceBytes == 0 ? rest : std::min(rest, m_plan.pieceBytes), MSG_NOSIGNAL);
    if (count >= 0) {
        each.sent += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN) {
        left(each);
    }
}

void client_crowd::receive(member &each)
{
    std::array<char, smallBufferBytes> bytes;
    const auto count = recv(each.handle, bytes.data(), bytes.size(), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
        left(each);
    }
}

void client_crowd::left(member &each)
{
    close(each.handle);
    each.handle = -1;
    if (m_plan.returns > 0) {
        m_plan.returns -= 1;
        open(each);
    }
}

pressing_crowd::pressing_crowd(const ip_address &address, int members, client_crowd::plan crowdPlan)
    : m_crowd(address, members, std::move(crowdPlan)),
      m_thread([this] {
          while (!m_ending) {
              m_crowd.run();
          }
      })
{
}

pressing_crowd::~pressing_crowd()
{
    m_ending = true;
    m_crowd.stop();
    m_thread.join();
}

} // namespace daisystile
