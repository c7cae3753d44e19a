#include "peer_link.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>

namespace daisystile {

static constexpr std::size_t maximalQueuedBytes = 16U << 20U;
static constexpr std::size_t readBytes = 64U << 10U;
static constexpr milliseconds handshakeTimeout {2000};
// A host that disappears without closing the connection is detected by data that it doesn't acknowledge.
static constexpr milliseconds unacknowledgedTimeout {3000};

struct peer_link::implementation : std::enable_shared_from_this<implementation>
{
    implementation(reactor &eventLoop, peer_credentials linkCredentials, callbacks linkCallbacks)
        : loop(eventLoop),
          credentials(std::move(linkCredentials)),
          notify(std::move(linkCallbacks))
    {
    }

    ~implementation()
    {
        release();
    }

    void start(int handle)
    {
        stream.set_handle(handle);
        stream.enable(ACE_NONBLOCK);
        int on = 1;
        stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        int timeout = static_cast<int>(unacknowledgedTimeout.count());
        stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
        appendFrame(outgoing, encodeChallenge(challenge));
        watch(true);
        handshakeTimer = loop.after(handshakeTimeout, [this] { fail(connection_failure::peer_unreachable, "handshake timed out"); });
    }

    void connect(const ip_address &address)
    {
        ACE_SOCK_Connector connector;
        const ACE_INET_Addr target(address.port, address.host.c_str());
        const ACE_Time_Value noWait = ACE_Time_Value::zero;
        if (connector.connect(stream, target, &noWait) != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS && errno != ETIME) {
            loop.post([weak = weak_from_this(), address] {
                if (const auto self = weak.lock()) {
                    self->fail(connection_failure::peer_unreachable, toString(address));
                }
            });
            return;
        }
        sharePort(stream.get_handle());
        start(stream.get_handle());
    }

    void watch(bool write)
    {
        if (stream.get_handle() == ACE_INVALID_HANDLE) {
            return;
        }
        watchingWrite = write;
        loop.watch(stream.get_handle(), {.read = true, .write = write}, [this] { ready(); });
    }

    void ready()
    {
        const auto keep = shared_from_this();
        if (flush() && readAll()) {
            return;
        }
    }

    // Returns false once the link is closed.
    bool flush()
    {
        while (sent < outgoing.size()) {
            const auto count = stream.send(outgoing.data() + sent, outgoing.size() - sent, MSG_NOSIGNAL);
            if (count < 0 && (errno == EWOULDBLOCK || errno == ENOTCONN || errno == EINPROGRESS)) {
                break;
            }
            if (count <= 0) {
                return fail(connection_failure::peer_unreachable, "send failed");
            }
            sent += static_cast<std::size_t>(count);
        }
        if (sent == outgoing.size()) {
            outgoing.clear();
            sent = 0;
        }
        const bool more = !outgoing.empty();
        if (more != watchingWrite) {
            watch(more);
        }
        return true;
    }

    bool readAll()
    {
        std::array<char, readBytes> bytes;
        const auto count = stream.recv(bytes.data(), bytes.size());
        if (count < 0 && (errno == EWOULDBLOCK || errno == ENOTCONN)) {
            return true;
        }
        if (count <= 0) {
            return fail(connection_failure::peer_unreachable, "connection closed");
        }
        reader.feed({bytes.data(), static_cast<std::size_t>(count)});
        std::string_view payload;
        while (!closed) {
            bool found = false;
            const bool readable = leaf::try_handle_all(
                [&]() -> leaf::result<bool> {
                    BOOST_LEAF_ASSIGN(found, reader.next(payload, maxPayloadBytes()));
                    return true;
                },
                [&](const connection_error &error) { return fail(error.failure, error.subject); },
                [&] { return fail(connection_failure::frame_malformed, "frame"); });
            if (!readable || !found) {
                return readable;
            }
            take(payload);
        }
        return false;
    }

    // Who hasn't shown the fleet's key can't make this process hold more than a handshake.
    std::uint32_t maxPayloadBytes() const
    {
        return isEstablished ? maximalFrameBytes : maximalHandshakeBytes;
    }

    void take(std::string_view payload)
    {
        if (isEstablished) {
            notify.frame(payload);
            return;
        }
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                if (!challenged) {
                    BOOST_LEAF_AUTO(received, decodeChallenge(payload));
                    challenged = true;
                    appendFrame(outgoing, encodeProof(makeProof(credentials.key, credentials.self, received)));
                    flush();
                    return {};
                }
                BOOST_LEAF_AUTO(identity, acceptProof(credentials.key, challenge, payload));
                // Rejects a reflection attack, which sends this daemon's own proof back.
                if (identity.id == credentials.self.id) {
                    return leaf::new_error(connection_error {connection_failure::key_refused, "own identity"});
                }
                isEstablished = true;
                loop.cancelTimer(handshakeTimer);
                notify.established(identity);
                return {};
            },
            [&](const connection_error &error) { fail(error.failure, error.subject); },
            [&] { fail(connection_failure::frame_malformed, "handshake"); });
    }

    bool fail(connection_failure failure, const std::string &subject)
    {
        if (closed) {
            return false;
        }
        closed = true;
        isEstablished = false;
        release();
        const auto keep = shared_from_this();
        notify.closed({failure, subject});
        return false;
    }

    void release()
    {
        loop.cancelTimer(handshakeTimer);
        handshakeTimer = 0;
        if (stream.get_handle() != ACE_INVALID_HANDLE) {
            loop.unwatch(stream.get_handle());
            stream.close();
        }
    }

    void scheduleFlush()
    {
        if (flushScheduled) {
            return;
        }
        flushScheduled = true;
        loop.post([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->flushScheduled = false;
                if (!self->closed) {
                    self->flush();
                }
            }
        });
    }

    reactor &loop;
    peer_credentials credentials;
    callbacks notify;
    ACE_SOCK_Stream stream;
    frame_reader reader;
    peer_challenge challenge = makeChallenge();
    std::string outgoing;
    std::size_t sent = 0;
    timer_id handshakeTimer = 0;
    bool watchingWrite = false;
    bool challenged = false;
    bool isEstablished = false;
    bool flushScheduled = false;
    bool closed = false;
};

peer_link::peer_link(reactor &loop, int handle, peer_credentials credentials, callbacks notify)
    : m_implementation(std::make_shared<implementation>(loop, std::move(credentials), std::move(notify)))
{
    m_implementation->start(handle);
}

peer_link::peer_link(reactor &loop, const ip_address &address, peer_credentials credentials, callbacks notify)
    : m_implementation(std::make_shared<implementation>(loop, std::move(credentials), std::move(notify)))
{
    m_implementation->connect(address);
}

peer_link::~peer_link()
{
    m_implementation->closed = true;
    m_implementation->release();
}

bool peer_link::send(std::string_view payload)
{
    auto &self = *m_implementation;
    if (!self.isEstablished || self.outgoing.size() - self.sent + payload.size() > maximalQueuedBytes) {
        return false;
    }
    appendFrame(self.outgoing, payload);
    self.scheduleFlush();
    return true;
}

bool peer_link::established() const
{
    return m_implementation->isEstablished;
}

} // namespace daisystile
