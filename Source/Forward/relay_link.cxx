#include "relay_link.h"

namespace daisystile {

namespace {

constexpr milliseconds checkInterval {200};
constexpr milliseconds receiveTimeout {1200};

} // namespace

relay_server::relay_server(reactor &loop, peer_credentials credentials, std::function<std::optional<relay_update>()> first)
    : m_loop(loop),
      m_credentials(std::move(credentials)),
      m_first(std::move(first))
{
}

void relay_server::listen(const ip_address &address, std::function<void(bool)> listens)
{
    address_opener::callbacks notify;
    notify.open = [this, address]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(m_listener, tcp_listener::listen(m_loop, address, [this](int handle) { accepted(handle); }));
        return {};
    };
    notify.opened = [listens] {
        listens(true);
    };
    notify.waits = [listens] {
        listens(false);
    };
    notify.failed = [listens](const process_error &error) {
        DAISYSTILE_LOG(ERROR, "relay") << "Failed to listen for other daemons: " << error << ".";
        listens(false);
    };
    m_opener = std::make_unique<address_opener>(m_loop, "peers", address, std::move(notify));
    m_opener->start();
}

void relay_server::setKey(std::string key)
{
    m_credentials.key = std::move(key);
}

void relay_server::stopListening()
{
    m_opener.reset();
    m_listener.reset();
}

void relay_server::accepted(int handle)
{
    const auto number = m_next++;
    peer_link::callbacks notify;
    notify.established = [this, number](const peer_identity &) {
        sendInitial(m_followers.at(number));
    };
    notify.frame = [this, number](std::string_view frame) {
        asked(number, frame);
    };
    notify.closed = [this, number](const connection_error &) {
        // Deferred, because the link must outlive this callback.
        m_loop.post([this, number] { m_followers.erase(number); });
    };
    m_followers[number].link = std::make_unique<peer_link>(m_loop, handle, m_credentials, std::move(notify));
}

void relay_server::onAgeQuestion(std::function<std::optional<relay_update>(const age_question &)> answer)
{
    m_answerAge = std::move(answer);
}

// Followers send nothing else.
void relay_server::asked(std::uint64_t number, std::string_view frame)
{
    auto &from = m_followers.at(number);
    if (!m_answerAge || !from.initialSent) {
        return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(question, decodeAgeQuestion(frame));
            if (const auto update = m_answerAge(question)) {
                from.initialSent = from.link->send(encodeRelayUpdate(*update));
            }
            return {};
        },
        [](const connection_error &error) { DAISYSTILE_LOG(WARNING, "relay") << "Malformed question: " << error << "."; },
        [] {});
}

void relay_server::sendInitial(follower &target)
{
    if (const auto update = m_first()) {
        target.initialSent = target.link->send(encodeRelayUpdate(*update));
    }
}

void relay_server::broadcast(const relay_update &update)
{
    if (m_followers.empty()) {
        return;
    }
    const auto bytes = encodeRelayUpdate(update);
    for (auto &[number, target] : m_followers) {
        if (target.initialSent) {
            target.initialSent = target.link->send(bytes);
        } else {
            sendInitial(target);
        }
    }
}

relay_client::relay_client(reactor &loop, const ip_address &address, peer_credentials credentials, callbacks notify)
    : m_loop(loop),
      m_notify(std::move(notify)),
      m_lastReceived(loop.now())
{
    peer_link::callbacks link;
    link.established = [](const peer_identity &) {
    };
    link.frame = [this](std::string_view frame) {
        received(frame);
    };
    link.closed = [this](const connection_error &) {
        fail();
    };
    m_link = std::make_unique<peer_link>(loop, address, std::move(credentials), std::move(link));
    m_timer = m_loop.after(checkInterval, [this] { check(); });
}

relay_client::~relay_client()
{
    m_loop.cancelTimer(m_timer);
}

void relay_client::askAge(std::string counts)
{
    const auto now = std::chrono::duration_cast<microseconds>(m_loop.now().time_since_epoch());
    m_link->send(encodeAgeQuestion({now.count(), std::move(counts)}));
}

void relay_client::received(std::string_view frame)
{
    m_lastReceived = m_loop.now();
    const bool readable = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(update, decodeRelayUpdate(frame));
            m_notify.updated(std::move(update));
            return true;
        },
        [](const connection_error &error) {
            DAISYSTILE_LOG(WARNING, "relay") << "Malformed update: " << error << ".";
            return false;
        },
        [] { return false; });
    if (!readable) {
        fail();
    }
}

void relay_client::check()
{
    m_timer = 0;
    if (m_loop.now() - m_lastReceived > receiveTimeout) {
        fail();
        return;
    }
    m_timer = m_loop.after(checkInterval, [this] { check(); });
}

void relay_client::fail()
{
    if (m_failed) {
        return;
    }
    m_failed = true;
    m_notify.failed();
}

} // namespace daisystile
