#include "tcp_stream.h"

#include "descriptors.h"
#include "listening_socket.h"
#include "log.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace daisystile {

namespace {

constexpr std::size_t readBytes = 32U << 10U;
constexpr int acceptBacklog = 1024;
constexpr int acceptsPerEvent = 16;
// A peer that disappears without closing the connection is detected by unacknowledged data, or by keepalive probes while
// nothing is sent.
constexpr milliseconds unacknowledgedTimeout {3000};
// An accepted connection may stall while the client reads slowly. The limit applies while no byte is accepted and is longer
// than typical pauses of mobile networks.
constexpr milliseconds sendStallTimeout {15000};
constexpr int probeIdleSeconds = 5;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 3;
// While no connection can be accepted, the listening socket stays ready, so that watching it would keep the event loop busy.
constexpr milliseconds listenerRest {20};
// A shortage of resources is over when none has been seen for this long.
constexpr milliseconds shortageQuiet {1000};
// Time for the peer to close the connection after everything was sent.
constexpr milliseconds lingerTimeout {500};

bool wouldBlock(int error)
{
    return error == EWOULDBLOCK || error == EAGAIN || error == EINPROGRESS;
}

bool isShortage(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

void setOption(ACE_SOCK_Stream &stream, int level, int option, int value)
{
    stream.set_option(level, option, &value, sizeof value);
}

void setOptions(ACE_SOCK_Stream &stream, milliseconds userTimeout)
{
    stream.enable(ACE_NONBLOCK);
    setOption(stream, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
}

} // namespace

struct tcp_stream::implementation : std::enable_shared_from_this<implementation>
{
    implementation(reactor &eventLoop, callbacks streamCallbacks)
        : loop(eventLoop),
          notify(std::move(streamCallbacks))
    {
    }

    ~implementation()
    {
        release();
    }

    void start(bool connectionOpen)
    {
        open = connectionOpen;
        watch();
    }

    void connect(const ip_address &address)
    {
        ACE_SOCK_Connector connector;
        const ACE_INET_Addr target(address.port, address.host.c_str());
        const ACE_Time_Value noWait = ACE_Time_Value::zero;
        const bool pending = connector.connect(stream, target, &noWait) != 0;
        if (pending && !wouldBlock(errno) && errno != ETIME) {
            const auto reason = isShortage(errno) || errno == EADDRNOTAVAIL ? stream_end::local_shortage : stream_end::connect_failed;
            stream.close();
            loop.post([weak = weak_from_this(), reason] {
                if (const auto self = weak.lock()) {
                    self->end(reason);
                }
            });
            return;
        }
        sharePort(stream.get_handle());
        setOptions(stream, unacknowledgedTimeout);
        start(false);
    }

    void watch()
    {
        if (stream.get_handle() == ACE_INVALID_HANDLE) {
            return;
        }
        const bool write = !open || !unsent.empty();
        if (watched && write == watchingWrite) {
            return;
        }
        watched = true;
        watchingWrite = write;
        loop.watch(stream.get_handle(), {.read = true, .write = write}, [this] { ready(); });
    }

    void ready()
    {
        const auto keep = shared_from_this();
        if (!open && !finishConnect()) {
            return;
        }
        if (!unsent.empty()) {
            flush();
        }
        if (stream.get_handle() != ACE_INVALID_HANDLE) {
            receive();
        }
    }

    bool finishConnect()
    {
        int error = 0;
        int size = sizeof error;
        if (stream.get_option(SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            end(stream_end::connect_failed);
            return false;
        }
        ACE_INET_Addr peer;
        if (stream.get_remote_addr(peer) != 0) {
            return false;
        }
        open = true;
        watch();
        if (notify.opened) {
            notify.opened();
        }
        return stream.get_handle() != ACE_INVALID_HANDLE;
    }

    void receive()
    {
        std::array<char, readBytes> bytes;
        const auto count = stream.recv(bytes.data(), bytes.size());
        if (count < 0 && wouldBlock(errno)) {
            return;
        }
        if (count <= 0) {
            end(count == 0 ? stream_end::closed : stream_end::reset);
            return;
        }
        if (closing) {
            return;
        }
        input.append({bytes.data(), static_cast<std::size_t>(count)});
        notify.received();
    }

    void send(std::string_view bytes)
    {
        if (open && unsent.empty()) {
            const auto count = sendNow(bytes);
            bytes.remove_prefix(count);
        }
        if (!bytes.empty()) {
            unsent.append(bytes);
            watch();
        }
    }

    // An error is ignored here; the next receive reports the broken connection.
    std::size_t sendNow(std::string_view bytes)
    {
        const auto count = stream.send(bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return count < 0 ? 0 : static_cast<std::size_t>(count);
    }

    void flush()
    {
        unsent.consume(sendNow(unsent.view()));
        if (closing && unsent.empty()) {
            shutdownSending();
        }
        watch();
        if (!closing && unsent.empty() && notify.sent) {
            notify.sent();
        }
    }

    // Closing with unread bytes would reset the connection and could lose the response in transit, so the peer closes first.
    void shutdownSending()
    {
        stream.close_writer();
        loop.after(lingerTimeout, [kept = shared_from_this()] { kept->release(); });
    }

    // Waits while the peer keeps reading, however slowly; closes the connection if no byte was accepted for the timeout.
    void closeWhenStalled()
    {
        loop.after(sendStallTimeout, [kept = shared_from_this(), before = unsent.size()] {
            if (kept->stream.get_handle() == ACE_INVALID_HANDLE || kept->unsent.empty()) {
                return;
            }
            if (kept->unsent.size() == before) {
                kept->release();
            } else {
                kept->closeWhenStalled();
            }
        });
    }

    void end(stream_end reason)
    {
        const bool reportEnd = !ended && !closing;
        ended = true;
        release();
        if (reportEnd) {
            notify.ended(reason);
        }
    }

    void release()
    {
        if (stream.get_handle() != ACE_INVALID_HANDLE) {
            loop.unwatch(stream.get_handle());
            stream.close();
        }
        keptUntilClosed.reset();
    }

    reactor &loop;
    callbacks notify;
    ACE_SOCK_Stream stream;
    std::shared_ptr<void> keptUntilClosed;
    byte_queue input;
    byte_queue unsent;
    bool open = false;
    bool watched = false;
    bool watchingWrite = false;
    bool ended = false;
    bool closing = false;
};

tcp_stream::tcp_stream(reactor &loop, int handle, callbacks notify)
    : m_implementation(std::make_shared<implementation>(loop, std::move(notify)))
{
    m_implementation->stream.set_handle(handle);
    setOptions(m_implementation->stream, sendStallTimeout);
    m_implementation->start(true);
}

tcp_stream::tcp_stream(reactor &loop, const ip_address &address, callbacks notify)
    : m_implementation(std::make_shared<implementation>(loop, std::move(notify)))
{
    m_implementation->connect(address);
}

tcp_stream::~tcp_stream()
{
    auto &self = *m_implementation;
    if (!self.closing) {
        self.ended = true;
        self.release();
    }
}

bool tcp_stream::isOpen() const
{
    return m_implementation->open && m_implementation->stream.get_handle() != ACE_INVALID_HANDLE;
}

byte_queue &tcp_stream::input()
{
    return m_implementation->input;
}

const byte_queue &tcp_stream::input() const
{
    return m_implementation->input;
}

void tcp_stream::write(std::string_view bytes)
{
    m_implementation->send(bytes);
}

std::size_t tcp_stream::unsent() const
{
    return m_implementation->unsent.size();
}

std::size_t tcp_stream::unsentReserved() const
{
    return m_implementation->unsent.reservedBytes();
}

void tcp_stream::readPending()
{
    const auto kept = m_implementation;
    if (isOpen()) {
        kept->receive();
    }
}

void tcp_stream::closeWhenSent()
{
    auto &self = *m_implementation;
    self.closing = true;
    self.input.clear();
    if (self.stream.get_handle() == ACE_INVALID_HANDLE) {
        return;
    }
    if (self.unsent.empty()) {
        self.shutdownSending();
    } else {
        self.closeWhenStalled();
    }
}

void tcp_stream::abort()
{
    m_implementation->ended = true;
    m_implementation->input.clear();
    m_implementation->unsent.clear();
    m_implementation->release();
}

void tcp_stream::keepUntilClosed(std::shared_ptr<void> object)
{
    m_implementation->keptUntilClosed = std::move(object);
}

struct tcp_listener::implementation
{
    ~implementation()
    {
        if (loop != nullptr) {
            loop->cancelTimer(restTimer);
            loop->cancelTimer(shortageTimer);
            loop->unwatch(acceptor.get_handle());
        }
        acceptor.close();
    }

    void watch()
    {
        loop->watch(acceptor.get_handle(), {.read = true, .write = false}, [this] { accept(); });
    }

    void rest()
    {
        if (restTimer != 0) {
            return;
        }
        loop->unwatch(acceptor.get_handle());
        restTimer = loop->after(listenerRest, [this] {
            restTimer = 0;
            watch();
        });
    }

    void noteShortage(int error)
    {
        lastShortage = loop->now();
        if (shortageTimer == 0) {
            DAISYSTILE_LOG(ERROR, "listener") << "Connections can't be accepted for want of resources; trying again."
                                              << field("reason", std::generic_category().message(error)) << field("descriptors_allowed", allowedDescriptors());
            awaitEndOfShortage(shortageQuiet);
        }
    }

    void awaitEndOfShortage(milliseconds wait)
    {
        shortageTimer = loop->after(wait, [this] {
            shortageTimer = 0;
            const auto left = timeLeft(loop->now(), lastShortage + shortageQuiet);
            if (left.count() > 0) {
                awaitEndOfShortage(left);
            } else {
                DAISYSTILE_LOG(INFO, "listener") << "Connections are accepted again.";
            }
        });
    }

    // Returns false when no connection is pending or can be accepted now.
    bool accept()
    {
        for (int i = 0; i < acceptsPerEvent; ++i) {
            if (allowed && !allowed()) {
                rest();
                return false;
            }
            ACE_SOCK_Stream stream;
            if (acceptor.accept(stream) != 0) {
                if (isShortage(errno)) {
                    noteShortage(errno);
                    rest();
                }
                return false;
            }
            accepted(stream.get_handle());
            stream.set_handle(ACE_INVALID_HANDLE);
        }
        return true;
    }

    reactor *loop = nullptr;
    ACE_SOCK_Acceptor acceptor;
    std::function<void(int)> accepted;
    std::function<bool()> allowed;
    timer_id restTimer = 0;
    // Runs while a shortage lasts.
    timer_id shortageTimer = 0;
    monotonic_time lastShortage;
};

tcp_listener::tcp_listener()
    : m_implementation(std::make_unique<implementation>())
{
}

tcp_listener::~tcp_listener() = default;

leaf::result<std::unique_ptr<tcp_listener>> tcp_listener::listen(reactor &loop, const ip_address &address, std::function<void(int handle)> accepted)
{
    auto listener = std::make_unique<tcp_listener>();
    auto &self = *listener->m_implementation;
    BOOST_LEAF_AUTO(handle, openListeningSocket(address, acceptBacklog));
    self.acceptor.set_handle(handle);
    self.accepted = std::move(accepted);
    self.loop = &loop;
    self.watch();
    return listener;
}

ip_address tcp_listener::address() const
{
    ACE_INET_Addr local;
    m_implementation->acceptor.get_local_addr(local);
    return {local.get_host_addr(), local.get_port_number()};
}

void tcp_listener::acceptIf(std::function<bool()> allowed)
{
    m_implementation->allowed = std::move(allowed);
}

void tcp_listener::acceptPending()
{
    constexpr int maxRounds = acceptBacklog / acceptsPerEvent + 1;
    for (int round = 0; round < maxRounds && m_implementation->accept(); ++round) { }
}

} // namespace daisystile
