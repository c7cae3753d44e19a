#include "delegation_client.h"

#include <algorithm>

namespace daisystile {

namespace {

// Delegates to which connections are kept open. The second one takes over at once when the first fails.
constexpr std::size_t preparedDelegates = 2;
// An offer that isn't answered within this share of the objective is withdrawn; the query can then still run here in time.
constexpr int objectiveToOfferTimeout = 4;
constexpr milliseconds minOfferTimeout {10};
constexpr milliseconds maxOfferTimeout {100};
// Allows for the answer's way back to this daemon and on to the client.
constexpr milliseconds returnMargin {3};
// Parts must be back before this daemon answers without them.
constexpr milliseconds partsReturnMargin {10};
constexpr milliseconds sweepInterval {1000};
// Longer than the time between two queries of a daemon in a large fleet.
constexpr seconds maxIdle {60};

milliseconds offerTimeout(const running_request &request)
{
    return std::clamp(request.objective / objectiveToOfferTimeout, minOfferTimeout, maxOfferTimeout);
}

} // namespace

struct delegation_client::delegate
{
    fleet_daemon daemon;
    std::unique_ptr<peer_link> link;
    delegate_health health;
    monotonic_time usedAt;
};

struct delegation_client::delegation
{
    daemon_id delegate;
    delegated_query query;
    monotonic_time deadline;
    monotonic_time answerBy;
    delegation_callback done;
    timer_id offerTimer = 0;
    bool accepted = false;
};

std::optional<local_reply> replyTo(const delegated_failure &failure)
{
    constexpr int firstErrorStatus = 400;
    if (failure.status < firstErrorStatus || !isFinalStatus(failure.status)) {
        return std::nullopt;
    }
    const auto retryAfter = failure.retryAfterMs < 0 ? std::nullopt : std::optional(milliseconds {failure.retryAfterMs});
    return local_reply {failure.status, retryAfter};
}

delegation_client::delegation_client(reactor &loop, const daemon_id &self, forward_metrics &metrics)
    : m_loop(loop),
      m_credentials {{self, {stableHash(randomBytes(8))}}, {}},
      m_metrics(metrics)
{
    sweep();
}

delegation_client::~delegation_client() = default;

void delegation_client::update(const routing_snapshot &view)
{
    m_credentials.key = view.peerKey;
}

void delegation_client::openLinks(const std::vector<fleet_daemon> &delegates)
{
    if (m_credentials.key.empty()) {
        return;
    }
    const auto now = m_loop.now();
    std::size_t prepared = 0;
    for (const auto &daemon : delegates) {
        if (prepared == preparedDelegates) {
            return;
        }
        auto &entry = m_delegates[daemon.id];
        if (!entry) {
            entry = std::make_unique<delegate>();
        }
        if (entry->daemon != daemon) {
            entry->daemon = daemon;
            if (entry->link) {
                disconnected(daemon.id);
            }
        }
        if (!entry->health.usable(now)) {
            continue;
        }
        entry->usedAt = now;
        prepared += 1;
        if (!entry->link) {
            connect(*entry);
        }
    }
}

void delegation_client::connect(delegate &target)
{
    peer_link::callbacks notify;
    notify.established = [](const peer_identity &) {
    };
    notify.frame = [this, id = target.daemon.id](std::string_view frame) {
        received(id, frame);
    };
    notify.closed = [this, id = target.daemon.id](const connection_error &error) {
        DAISYSTILE_LOG(WARNING, "delegation") << "Lost the connection to a delegate: " << error << "." << field("delegate", id.value);
        m_delegates.at(id)->health.failed(m_loop.now());
        disconnected(id);
    };
    target.link = std::make_unique<peer_link>(m_loop, target.daemon.queries, m_credentials, std::move(notify));
}

// What was only offered didn't run; of what was accepted nothing is known.
void delegation_client::disconnected(const daemon_id &id)
{
    m_retired.push_back(std::move(m_delegates.at(id)->link));
    std::vector<delegation_id> pending;
    for (const auto &[number, entry] : m_delegations) {
        if (entry->delegate == id) {
            pending.push_back(number);
        }
    }
    for (const auto number : pending) {
        const auto found = m_delegations.find(number);
        if (found != m_delegations.end()) {
            end(number, found->second->accepted ? delegation_outcome(delegation_lost {}) : delegation_outcome(delegation_declined {}));
        }
    }
}

delegation_client::delegate *delegation_client::usableDelegate(const std::vector<fleet_daemon> &delegates)
{
    const auto now = m_loop.now();
    for (const auto &daemon : delegates) {
        const auto found = m_delegates.find(daemon.id);
        const bool connected = found != m_delegates.end() && found->second->link && found->second->link->established();
        if (connected && found->second->health.usable(now)) {
            return found->second.get();
        }
    }
    return nullptr;
}

delegation_id delegation_client::start(const std::vector<fleet_daemon> &delegates,
    const running_request &request,
    const std::vector<part_index> &parts,
    delegation_callback done)
{
    openLinks(delegates);
    auto *target = usableDelegate(delegates);
    if (target == nullptr) {
        return 0;
    }
    const auto number = m_next++;
    const auto version = request.view->routes->configuration().version;
    if (!target->link->send(encodeDelegation(query_offer {number, version.value}))) {
        return 0;
    }
    auto entry = std::make_unique<delegation>();
    entry->delegate = target->daemon.id;
    entry->query = makeDelegatedQuery(number, version, request.message);
    entry->query.shards.assign(parts.begin(), parts.end());
    entry->query.account = request.account.value_or(account_name {}).value;
    entry->deadline = request.deadline;
    entry->answerBy = request.received + request.objective - (parts.empty() ? returnMargin : partsReturnMargin);
    entry->done = std::move(done);
    entry->offerTimer = m_loop.after(offerTimeout(request), [this, number] { offerTimedOut(number); });
    m_delegations.emplace(number, std::move(entry));
    return number;
}

void delegation_client::offerTimedOut(delegation_id number)
{
    const auto found = m_delegations.find(number);
    if (found == m_delegations.end()) {
        return;
    }
    auto &target = *m_delegates.at(found->second->delegate);
    DAISYSTILE_LOG(WARNING, "delegation") << "Offer not answered in time." << field("delegate", target.daemon.id.value);
    m_metrics.delegationsUnanswered.add();
    target.health.failed(m_loop.now());
    if (target.link) {
        target.link->send(encodeDelegation(delegation_cancelled {number}));
    }
    end(number, delegation_declined {});
}

void delegation_client::cancel(delegation_id number)
{
    const auto found = m_delegations.find(number);
    if (found == m_delegations.end()) {
        return;
    }
    const auto &target = *m_delegates.at(found->second->delegate);
    if (target.link) {
        target.link->send(encodeDelegation(delegation_cancelled {number}));
    }
    m_loop.cancelTimer(found->second->offerTimer);
    m_delegations.erase(found);
}

const daemon_id &delegation_client::delegateOf(delegation_id number) const
{
    return m_delegations.at(number)->delegate;
}

void delegation_client::received(const daemon_id &id, std::string_view frame)
{
    auto &from = *m_delegates.at(id);
    const auto drop = [&] {
        from.health.failed(m_loop.now());
        m_loop.post([this, id] {
            if (m_delegates.at(id)->link) {
                disconnected(id);
            }
        });
    };
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeDelegation(frame));
            std::visit([&](auto &each) { handle(from, std::move(each)); }, message);
            return {};
        },
        [&](const connection_error &error) {
            DAISYSTILE_LOG(WARNING, "delegation") << "Malformed message: " << error << "." << field("delegate", id.value);
            drop();
        },
        [&] { drop(); });
}

// A reply to an offer that was withdrawn is ignored.
void delegation_client::handle(delegate &from, const offer_reply &reply)
{
    const auto found = m_delegations.find(reply.delegation);
    if (found == m_delegations.end() || found->second->delegate != from.daemon.id || found->second->accepted) {
        return;
    }
    auto &entry = *found->second;
    m_loop.cancelTimer(std::exchange(entry.offerTimer, 0));
    if (!reply.accepted) {
        m_metrics.delegationsDeclined.add();
        from.health.declined(m_loop.now());
        end(reply.delegation, delegation_declined {});
        return;
    }
    from.health.accepted();
    entry.accepted = true;
    entry.query.timeLeftMs = timeLeft(m_loop.now(), entry.deadline).count();
    entry.query.answerWithinMs = timeLeft(m_loop.now(), entry.answerBy).count();
    if (!from.link->send(encodeDelegation(std::exchange(entry.query, {})))) {
        end(reply.delegation, delegation_declined {});
    }
}

void delegation_client::handle(delegate &from, delegated_answer answer)
{
    const auto found = m_delegations.find(answer.delegation);
    if (found == m_delegations.end() || found->second->delegate != from.daemon.id) {
        return;
    }
    query_answer reply;
    reply.shards.assign(answer.shards.begin(), answer.shards.end());
    for (auto &signature : answer.signatures) {
        reply.signatures.push_back({std::move(signature)});
    }
    reply.missingParts = answer.missingParts;
    reply.records = std::move(answer.records);
    m_metrics.delegationsAnswered.add();
    end(answer.delegation, client_reply(std::move(reply)));
}

void delegation_client::handle(delegate &from, const delegated_failure &failure)
{
    const auto found = m_delegations.find(failure.delegation);
    if (found == m_delegations.end() || found->second->delegate != from.daemon.id) {
        return;
    }
    const auto reply = replyTo(failure);
    if (!reply) {
        DAISYSTILE_LOG(WARNING, "delegation") << "A failure without a status of one." << field("delegate", from.daemon.id.value);
        end(failure.delegation, delegation_lost {});
        return;
    }
    m_metrics.delegationsFailed.add();
    end(failure.delegation, client_reply(*reply));
}

template<class Message> void delegation_client::handle(delegate &from, const Message &)
{
    DAISYSTILE_LOG(WARNING, "delegation") << "Unexpected message." << field("delegate", from.daemon.id.value);
}

void delegation_client::end(delegation_id number, delegation_outcome outcome)
{
    const auto found = m_delegations.find(number);
    const auto entry = std::move(found->second);
    m_delegations.erase(found);
    m_loop.cancelTimer(entry->offerTimer);
    if (std::holds_alternative<delegation_lost>(outcome)) {
        m_metrics.delegationsFailed.add();
    }
    entry->done(entry->delegate, std::move(outcome));
}

void delegation_client::sweep()
{
    m_retired.clear();
    const auto now = m_loop.now();
    for (auto &[id, entry] : m_delegates) {
        const bool used = std::any_of(m_delegations.begin(), m_delegations.end(), [&wanted = id](const auto &each) { return each.second->delegate == wanted; });
        if (entry->link && !used && now - entry->usedAt > maxIdle) {
            entry->link.reset();
        }
    }
    m_loop.after(sweepInterval, [this] { sweep(); });
}

} // namespace daisystile
