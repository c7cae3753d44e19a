#include "peer_network.h"

#include "peer_codec.h"

#include <list>
#include <map>

namespace daisystile {

static constexpr std::size_t maxPendingMessages = 100000;

struct peer_network::implementation
{
    struct peer_connection
    {
        std::unique_ptr<peer_link> link;
        std::optional<peer_identity> identity;
        // Empty for accepted links.
        daemon_id expected;
        std::vector<std::string> pendingMessages;
    };

    using link_list = std::list<peer_connection>;

    implementation(reactor &eventLoop, peer_credentials networkCredentials, callbacks networkCallbacks)
        : loop(eventLoop),
          credentials(std::move(networkCredentials)),
          notify(std::move(networkCallbacks))
    {
    }

    ~implementation()
    {
        *alive = false;
    }

    void accepted(int handle)
    {
        links.emplace_back();
        const auto entry = std::prev(links.end());
        entry->link = std::make_unique<peer_link>(loop, handle, credentials, callbacksFor(entry));
    }

    peer_link::callbacks callbacksFor(link_list::iterator entry)
    {
        peer_link::callbacks result;
        result.established = [this, entry](const peer_identity &identity) {
            established(entry, identity);
        };
        result.frame = [this, entry](std::string_view payload) {
            received(entry, payload);
        };
        result.closed = [this, entry](const connection_error &error) {
            closed(entry, error);
        };
        return result;
    }

    void established(link_list::iterator entry, const peer_identity &identity)
    {
        if (!entry->expected.value.empty() && entry->expected != identity.id) {
            DAISYSTILE_LOG(WARNING, "peer") << "Peer identifies itself with another id than expected." << field("expected", entry->expected.value)
                                            << field("found", identity.id.value);
        }
        entry->identity = identity;
        for (const auto &payload : entry->pendingMessages) {
            entry->link->send(payload);
        }
        entry->pendingMessages.clear();
        auto &current = byPeer[entry->expected.value.empty() ? identity.id : entry->expected];
        if (current == nullptr || !current->link->established()) {
            movePendingMessages(current, *entry);
            current = &*entry;
        }
    }

    // Both sides may connect at the same time; the first established link sends the messages that are queued for the other.
    static void movePendingMessages(peer_connection *from, peer_connection &to)
    {
        if (from == nullptr || from == &to) {
            return;
        }
        for (const auto &payload : from->pendingMessages) {
            to.link->send(payload);
        }
        from->pendingMessages.clear();
    }

    void received(link_list::iterator entry, std::string_view payload)
    {
        auto decoded = decodePeerMessage(payload);
        if (!decoded) {
            DAISYSTILE_LOG(WARNING, "peer") << "Peer message can't be decoded." << field("peer", entry->identity->id.value);
            return;
        }
        const auto identity = *entry->identity;
        notify.message(identity, std::move(*decoded));
    }

    void closed(link_list::iterator entry, const connection_error &error)
    {
        const auto id = entry->identity ? entry->identity->id : entry->expected;
        DAISYSTILE_LOG(INFO, "peer") << "Link closed: " << error << "." << field("peer", id.value);
        const bool neverEstablished = !entry->identity.has_value();
        const auto found = byPeer.find(id);
        const bool wasCurrent = found != byPeer.end() && found->second == &*entry;
        if (wasCurrent) {
            byPeer.erase(found);
        }
        // Deferred, because this is called from within the link.
        loop.post([this, entry, stillAlive = alive] {
            if (*stillAlive) {
                links.erase(entry);
            }
        });
        if (!id.value.empty() && (wasCurrent || !neverEstablished)) {
            notify.lost({id, neverEstablished});
        }
    }

    peer_connection *linkTo(const daemon_id &to)
    {
        const auto found = byPeer.find(to);
        if (found != byPeer.end()) {
            return found->second;
        }
        const auto address = addresses.find(to);
        if (address == addresses.end()) {
            return nullptr;
        }
        links.emplace_back();
        const auto entry = std::prev(links.end());
        entry->expected = to;
        byPeer[to] = &*entry;
        entry->link = std::make_unique<peer_link>(loop, address->second, credentials, callbacksFor(entry));
        return &*entry;
    }

    reactor &loop;
    peer_credentials credentials;
    callbacks notify;
    std::unique_ptr<tcp_listener> listener;
    std::map<daemon_id, ip_address> addresses;
    link_list links;
    std::map<daemon_id, peer_connection *> byPeer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

peer_network::peer_network(reactor &loop, peer_credentials credentials, callbacks notify)
    : m_implementation(std::make_unique<implementation>(loop, std::move(credentials), std::move(notify)))
{
}

peer_network::~peer_network() = default;

leaf::result<ip_address> peer_network::listen(const ip_address &address)
{
    auto &self = *m_implementation;
    BOOST_LEAF_ASSIGN(self.listener, tcp_listener::listen(self.loop, address, [&self](int handle) { self.accepted(handle); }));
    return ip_address {address.host, self.listener->address().port};
}

void peer_network::setPeers(const std::vector<peer_address> &peers)
{
    auto &self = *m_implementation;
    std::map<daemon_id, ip_address> addresses;
    for (const auto &peer : peers) {
        addresses[peer.id] = peer.address;
    }
    self.addresses = std::move(addresses);
}

bool peer_network::send(const daemon_id &to, const peer_message &message)
{
    auto *entry = m_implementation->linkTo(to);
    if (entry == nullptr) {
        return false;
    }
    auto payload = encodePeerMessage(message);
    if (payload.size() > maximalFrameBytes) {
        return false;
    }
    if (entry->link->established()) {
        return entry->link->send(payload);
    }
    if (entry->pendingMessages.size() >= maxPendingMessages) {
        return false;
    }
    entry->pendingMessages.push_back(std::move(payload));
    return true;
}

} // namespace daisystile
