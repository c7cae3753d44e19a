#include "tcp_relay.h"

#include "relay_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisystile {

static constexpr std::size_t readBytes = 65536;
// Limit of the bytes queued in each direction. Reading stops above it, so that backpressure reaches the sender.
static constexpr std::size_t maximumQueuedBytes = 1U << 20U;
static constexpr milliseconds throttleInterval {10};
static constexpr int backlog = 512;

namespace {

struct delayed_bytes
{
    monotonic_time due;
    std::string bytes;
};

// One direction of a connection.
struct stream
{
    int from = -1;
    int to = -1;
    std::deque<delayed_bytes> queued;
    std::size_t queuedSize = 0;
    bool endReceived = false;
    bool endForwarded = false;
    bool blocked = false;
    monotonic_time throttledUntil {};
    timer_id timer = 0;
};

} // namespace

class tcp_relay::connection : public std::enable_shared_from_this<tcp_relay::connection>
{
public:
    connection(tcp_relay &relay, int client, std::string source)
        : m_relay(relay),
          m_client(client),
          m_source(std::move(source))
    {
        m_forward.from = client;
        m_backward.to = client;
    }

    ~connection()
    {
        // A connection that has ended may outlive its relay by one iteration of the event loop, and must not use it then.
        if (!m_ended) {
            close(false);
        }
    }

    const std::string &source() const
    {
        return m_source;
    }

    void connectTo(const ip_address &target)
    {
        m_server = openSocket(SOCK_STREAM);
        const int on = 1;
        setsockopt(m_server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        setsockopt(m_client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto address = toSocketAddress(target);
        if (connect(m_server, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
            end(true);
            return;
        }
        m_forward.to = m_server;
        m_backward.from = m_server;
        m_forward.blocked = true;
        update();
    }

    void update()
    {
        if (m_ended) {
            return;
        }
        if (faults().halfOpen) {
            leaveHalfOpen();
            return;
        }
        watch(m_client, m_forward, m_backward, flow_direction::forward);
        watch(m_server, m_backward, m_forward, flow_direction::backward);
        schedule(m_forward, flow_direction::forward);
        schedule(m_backward, flow_direction::backward);
    }

    void end(bool reset)
    {
        if (m_ended) {
            return;
        }
        m_ended = true;
        close(reset);
        m_relay.removeConnection(this);
    }

private:
    const link_faults &faults() const
    {
        return m_relay.m_faults.at(m_source);
    }

    bool canRead(const stream &flow, flow_direction direction) const
    {
        return !flow.endReceived && flow.queuedSize < maximumQueuedBytes && !faults().cut(direction);
    }

    // Each socket is read for one direction and written for the other.
    void watch(int handle, const stream &in, const stream &out, flow_direction inDirection)
    {
        if (handle < 0) {
            return;
        }
        const io_interest interest {.read = canRead(in, inDirection), .write = out.blocked};
        if (!interest.read && !interest.write) {
            m_relay.m_loop.unwatch(handle);
            return;
        }
        m_relay.m_loop.watch(handle, interest, [self = shared_from_this(), handle] { self->ready(handle); });
    }

    void ready(int handle)
    {
        if (m_ended) {
            return;
        }
        const bool isClient = handle == m_client;
        auto &in = isClient ? m_forward : m_backward;
        auto &out = isClient ? m_backward : m_forward;
        const auto inDirection = isClient ? flow_direction::forward : flow_direction::backward;
        const auto outDirection = isClient ? flow_direction::backward : flow_direction::forward;
        if (out.blocked) {
            out.blocked = false;
            write(out, outDirection);
        }
        if (!m_ended && canRead(in, inDirection)) {
            read(in, inDirection);
        }
        update();
    }

    void read(stream &flow, flow_direction direction)
    {
        static std::array<char, readBytes> buffer;
        const auto size = ::recv(flow.from, buffer.data(), buffer.size(), 0);
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
                end(true);
            }
            return;
        }
        if (size == 0) {
            flow.endReceived = true;
        } else {
            auto due = m_relay.m_loop.now() + milliseconds {faults().delayMs} + m_relay.m_faultRandom.randomDelay(faults().jitterMs);
            if (!flow.queued.empty()) {
                due = std::max(due, flow.queued.back().due);
            }
            flow.queued.push_back({due, std::string(buffer.data(), static_cast<std::size_t>(size))});
            flow.queuedSize += static_cast<std::size_t>(size);
        }
        write(flow, direction);
    }

    void write(stream &flow, flow_direction direction)
    {
        const auto now = m_relay.m_loop.now();
        while (!m_ended && !flow.blocked && !flow.queued.empty() && flow.queued.front().due <= now && flow.throttledUntil <= now && !faults().cut(direction)) {
            writeSome(flow, now);
        }
        if (!m_ended && flow.endReceived && flow.queued.empty() && !flow.endForwarded && !faults().cut(direction)) {
            flow.endForwarded = true;
            shutdown(flow.to, SHUT_WR);
            if (m_forward.endForwarded && m_backward.endForwarded) {
                end(false);
            }
        }
    }

    void writeSome(stream &flow, monotonic_time now)
    {
        auto &bytes = flow.queued.front().bytes;
        std::size_t size = bytes.size();
        const auto rate = faults().bytesPerSecond;
        if (rate > 0) {
            const auto perInterval = std::max<std::size_t>(1, rate * static_cast<std::size_t>(throttleInterval.count()) / 1000);
            size = std::min(size, perInterval);
            flow.throttledUntil = now + throttleInterval;
        }
        const auto written = ::send(flow.to, bytes.data(), size, MSG_NOSIGNAL);
        if (written < 0) {
            if (errno == EAGAIN || errno == EINTR || errno == ENOTCONN) {
                flow.blocked = true;
            } else {
                end(true);
            }
            return;
        }
        m_relay.m_counts.bytes += static_cast<std::uint64_t>(written);
        flow.queuedSize -= static_cast<std::size_t>(written);
        bytes.erase(0, static_cast<std::size_t>(written));
        if (bytes.empty()) {
            flow.queued.pop_front();
        }
    }

    void schedule(stream &flow, flow_direction direction)
    {
        m_relay.m_loop.cancelTimer(flow.timer);
        flow.timer = 0;
        if (m_ended || flow.queued.empty() || flow.blocked || faults().cut(direction)) {
            return;
        }
        const auto due = std::max(flow.queued.front().due, flow.throttledUntil);
        const auto wait = timeLeft(m_relay.m_loop.now(), due) + milliseconds {1};
        flow.timer = m_relay.m_loop.after(wait, [self = shared_from_this(), &flow, direction] {
            self->write(flow, direction);
            self->update();
        });
    }

    void leaveHalfOpen()
    {
        m_relay.m_loop.unwatch(m_client);
        if (m_server >= 0) {
            m_relay.m_loop.unwatch(m_server);
            ::close(m_server);
            m_server = -1;
        }
    }

    void close(bool reset)
    {
        for (auto *flow : {&m_forward, &m_backward}) {
            m_relay.m_loop.cancelTimer(flow->timer);
            flow->timer = 0;
        }
        for (int *handle : {&m_client, &m_server}) {
            if (*handle < 0) {
                continue;
            }
            m_relay.m_loop.unwatch(*handle);
            if (reset) {
                closeWithReset(*handle);
            } else {
                ::close(*handle);
            }
            *handle = -1;
        }
    }

    tcp_relay &m_relay;
    int m_client;
    int m_server = -1;
    std::string m_source;
    stream m_forward;
    stream m_backward;
    bool m_ended = false;
};

tcp_relay::tcp_relay(reactor &loop, int listening, const link_fault_table &faults, fault_random &faultRandom, link_counts &counts)
    : m_loop(loop),
      m_listening(listening),
      m_faults(faults),
      m_faultRandom(faultRandom),
      m_counts(counts)
{
    ::listen(m_listening, backlog);
    m_loop.watch(m_listening, {.read = true}, [this] { accept(); });
}

tcp_relay::~tcp_relay()
{
    m_loop.unwatch(m_listening);
    ::close(m_listening);
    resetAll("");
}

void tcp_relay::setTarget(const ip_address &target)
{
    m_target = target;
}

void tcp_relay::accept()
{
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    const int client = accept4(m_listening, reinterpret_cast<sockaddr *>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    m_counts.connections += 1;
    const auto source = fromSocketAddress(peer).host;
    const auto &faults = m_faults.at(source);
    if (faults.refuse || !m_target) {
        m_counts.resets += 1;
        closeWithReset(client);
        return;
    }
    const auto &accepted = m_connections.emplace_back(std::make_shared<connection>(*this, client, source));
    const auto keep = accepted;
    if (!faults.halfOpen) {
        keep->connectTo(*m_target);
    }
}

void tcp_relay::removeConnection(connection *closed)
{
    // The caller may be a member function of the connection, so its destruction is deferred to the event loop.
    const auto found = std::find_if(m_connections.begin(), m_connections.end(), [&](const auto &entry) { return entry.get() == closed; });
    if (found != m_connections.end()) {
        m_loop.post([entry = *found] {});
        m_connections.erase(found);
    }
}

void tcp_relay::applyFaults()
{
    const auto connections = m_connections;
    for (const auto &entry : connections) {
        entry->update();
    }
}

void tcp_relay::resetAll(const std::string &source)
{
    const auto connections = m_connections;
    for (const auto &entry : connections) {
        if (source.empty() || entry->source() == source) {
            m_counts.resets += 1;
            entry->end(true);
        }
    }
}

} // namespace daisystile
