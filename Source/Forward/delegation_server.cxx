#include "delegation_server.h"

namespace daisystile {

namespace {

/// Turns the reply to a query into the message for the daemon that delegated it.
struct reply_message
{
    delegation_id delegation;

    delegation_message operator()(const query_answer &answer) const
    {
        delegated_answer message {.delegation = delegation, .shards = {}, .signatures = {}, .missingParts = answer.missingParts, .records = answer.records};
        for (const auto shard : answer.shards) {
            message.shards.push_back(static_cast<std::uint32_t>(shard));
        }
        for (const auto &signature : answer.signatures) {
            message.signatures.push_back(signature.value);
        }
        return message;
    }

    delegation_message operator()(const local_reply &reply) const
    {
        return delegated_failure {delegation, reply.status, reply.retryAfter ? reply.retryAfter->count() : -1};
    }

    // Only a request to a single service has such a reply, and those are not delegated.
    delegation_message operator()(const response_message &) const
    {
        constexpr int statusBadGateway = 502;
        return delegated_failure {delegation, statusBadGateway, -1};
    }
};

} // namespace

delegation_server::delegation_server(reactor &loop, forwarder &requests, quota_keeper &quotas, const entry_settings &settings)
    : m_loop(loop),
      m_requests(requests),
      m_quotas(quotas),
      m_address(settings.queries),
      m_credentials {{settings.id, {stableHash(randomBytes(8))}}, {}}
{
}

void delegation_server::onListening(std::function<void(bool)> listens)
{
    m_listens = std::move(listens);
}

void delegation_server::update(const routing_snapshot &view)
{
    // Links that are accepted from now on use it.
    m_credentials.key = view.peerKey;
    if (m_address.port == 0 || m_opener || m_draining || view.peerKey.empty()) {
        return;
    }
    address_opener::callbacks notify;
    notify.open = [this]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(m_listener, tcp_listener::listen(m_loop, m_address, [this](int handle) { accepted(handle); }));
        return {};
    };
    notify.opened = [this] {
        m_listens(true);
    };
    notify.waits = [this] {
        m_listens(false);
    };
    notify.failed = [this](const process_error &error) {
        DAISYSTILE_LOG(ERROR, "delegation") << "Failed to listen for queries of other daemons: " << error << ".";
        m_listens(false);
    };
    m_opener = std::make_unique<address_opener>(m_loop, "queries", m_address, std::move(notify));
    m_opener->start();
}

void delegation_server::startDraining()
{
    m_draining = true;
    m_opener.reset();
    m_listener.reset();
}

std::size_t delegation_server::runningQueries() const
{
    std::size_t running = 0;
    for (const auto &[number, entry] : m_links) {
        running += entry.running.size();
    }
    return running;
}

void delegation_server::accepted(int handle)
{
    const auto number = m_next++;
    peer_link::callbacks notify;
    notify.established = [this, number](const peer_identity &peer) {
        m_links.at(number).id = peer.id;
    };
    notify.frame = [this, number](std::string_view frame) {
        received(number, frame);
    };
    notify.closed = [this, number](const connection_error &) {
        closed(number);
    };
    m_links[number].link = std::make_unique<peer_link>(m_loop, handle, m_credentials, std::move(notify));
}

void delegation_server::closed(link_number number)
{
    const auto found = m_links.find(number);
    if (found == m_links.end()) {
        return;
    }
    for (const auto &[delegation, request] : std::exchange(found->second.running, {})) {
        m_requests.clientLeft(request);
    }
    if (const auto asking = m_tokenLinks.find(found->second.id); asking != m_tokenLinks.end() && asking->second == number) {
        m_tokenLinks.erase(asking);
    }
    // Deferred, because the link must outlive its callbacks.
    m_loop.post([this, number] { m_links.erase(number); });
}

void delegation_server::received(link_number number, std::string_view frame)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeDelegation(frame));
            std::visit([&](auto &each) { handle(number, std::move(each)); }, message);
            return {};
        },
        [&](const connection_error &error) {
            DAISYSTILE_LOG(WARNING, "delegation") << "Malformed message: " << error << ".";
            drop(number);
        },
        [&] { drop(number); });
}

// A daemon with another configuration would answer with other shards than the one that delegates.
bool delegation_server::mayTake(std::uint64_t configurationVersion) const
{
    const auto &routes = m_requests.view()->routes;
    return !m_draining && m_requests.mayStart() && routes && routes->configuration().version.value == configurationVersion;
}

void delegation_server::handle(link_number number, const query_offer &offer)
{
    send(number, offer_reply {offer.delegation, mayTake(offer.configurationVersion)});
}

void delegation_server::handle(link_number number, delegated_query query)
{
    const auto delegation = query.delegation;
    const auto version = query.configurationVersion;
    const milliseconds timeLeft {query.timeLeftMs};
    const delegated_terms terms {.shards = {query.shards.begin(), query.shards.end()},
        .answerWithin = milliseconds {query.answerWithinMs},
        .account = query.account.empty() ? std::nullopt : std::optional(account_name {query.account})};
    auto message = toRequestMessage(std::move(query));
    auto head = readRequestHead(message);
    const auto &routes = m_requests.view()->routes;
    if (!head || !routes || routes->configuration().version.value != version) {
        // It was accepted under a configuration that has been replaced since.
        constexpr int statusUnavailable = 503;
        send(number, delegated_failure {delegation, statusUnavailable, 0});
        return;
    }
    head->timeLeft = timeLeft;
    const auto request = m_requests.submitDelegated(
        std::move(message), *head, terms, [this, number, delegation](const client_reply &reply) { answer(number, delegation, reply); });
    if (request != 0) {
        m_links.at(number).running.emplace(delegation, request);
    }
}

void delegation_server::handle(link_number number, const delegation_cancelled &cancelled)
{
    auto &running = m_links.at(number).running;
    const auto found = running.find(cancelled.delegation);
    if (found != running.end()) {
        const auto request = found->second;
        running.erase(found);
        m_requests.clientLeft(request);
    }
}

// A daemon asks on one connection at a time, and drops what it holds when it opens another.
void delegation_server::handle(link_number number, const tokens_question &question)
{
    auto &from = m_links.at(number);
    if (!std::exchange(from.asksTokens, true)) {
        m_tokenLinks[from.id] = number;
        m_quotas.holdsNothing(from.id);
    }
    if (m_tokenLinks[from.id] != number) {
        drop(number);
        return;
    }
    if (question.dropped) {
        m_quotas.holdsNothing(from.id);
        return;
    }
    send(number, m_quotas.answer(from.id, question));
}

template<class Message> void delegation_server::handle(link_number number, const Message &)
{
    DAISYSTILE_LOG(WARNING, "delegation") << "Unexpected message." << field("link", number);
    drop(number);
}

void delegation_server::answer(link_number number, delegation_id delegation, const client_reply &reply)
{
    const auto found = m_links.find(number);
    if (found != m_links.end()) {
        found->second.running.erase(delegation);
        send(number, std::visit(reply_message {delegation}, reply));
    }
}

void delegation_server::send(link_number number, const delegation_message &message)
{
    const auto found = m_links.find(number);
    if (found != m_links.end() && !found->second.link->send(encodeDelegation(message))) {
        drop(number);
    }
}

// Deferred, because it may be called from a callback of the link.
void delegation_server::drop(link_number number)
{
    m_loop.post([this, number] { closed(number); });
}

} // namespace daisystile
