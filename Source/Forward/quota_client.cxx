#include "quota_client.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds tickInterval {50};
constexpr milliseconds answerTimeout {300};
constexpr milliseconds connectTimeout {1000};
// A daemon that is asked first needs a few calls to the store until it can hand out tokens.
constexpr milliseconds claimTime {700};
constexpr milliseconds initialFailedTime {1000};
constexpr milliseconds maxFailedTime {30000};
constexpr milliseconds unknownRetry {500};
// What one keeper has claimed goes over to another only in the time of a lease, so that a working one isn't left often.
constexpr seconds minStay {20};
// After a refusal the keeper is asked again when it has said that there will be tokens, within these bounds.
constexpr milliseconds minAskPause {20};
constexpr milliseconds maxAskPause {1000};
// Requests wait for an answer unless this many keepers have failed one after the other.
constexpr unsigned failuresToRefuse = 2;
// Questions of requests that arrive together go in one message.
constexpr milliseconds askDelay {1};

microseconds sinceEpoch(monotonic_time time)
{
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch());
}

} // namespace

quota_client::quota_client(reactor &loop, const entry_settings &settings, quota_keeper &own)
    : m_loop(loop),
      m_self {settings.id, settings.domain, settings.peers, settings.queries, settings.strength},
      m_credentials {{settings.id, {stableHash(randomBytes(8))}}, {}},
      m_own(own)
{
}

quota_client::~quota_client() = default;

void quota_client::onKeeping(std::function<void(bool)> callback)
{
    m_keeping = std::move(callback);
}

void quota_client::update(const routing_snapshot &view)
{
    m_credentials.key = view.peerKey;
    m_candidates.clear();
    for (const auto &daemon : view.fleet) {
        if (daemon.domain == m_self.domain && (daemon.queries.port != 0 || daemon.id == m_self.id)) {
            m_candidates.push_back(daemon);
        }
    }
    std::sort(m_candidates.begin(), m_candidates.end(), [](const auto &left, const auto &right) {
        return left.strength != right.strength ? left.strength > right.strength : left.id < right.id;
    });
    std::erase_if(m_failures, [this](const auto &each) {
        return std::none_of(m_candidates.begin(), m_candidates.end(), [&each](const auto &daemon) { return daemon.id == each.first; });
    });
    const auto *accounts = view.routes ? &view.routes->configuration().accounts : nullptr;
    m_needed = accounts != nullptr && std::any_of(accounts->begin(), accounts->end(), [](const auto &each) { return each.quota.has_value(); });
    stateKeeping();
    if (m_needed && !std::exchange(m_ticking, true)) {
        tick();
    }
}

// The first daemon keeps its claims while others are asked instead, so that it can be returned to.
void quota_client::stateKeeping()
{
    const bool first = !m_candidates.empty() && m_candidates.front().id == m_self.id;
    const bool keeping = m_needed && (first || m_keeper == m_self.id);
    if (m_isKeeping != keeping) {
        m_isKeeping = keeping;
        m_keeping(keeping);
    }
}

bool quota_client::failing(const daemon_id &id, monotonic_time now) const
{
    const auto found = m_failures.find(id);
    return found != m_failures.end() && now < found->second.until;
}

void quota_client::noteFailure(const daemon_id &id, monotonic_time now)
{
    auto &failure = m_failures[id];
    failure.pause = std::clamp(failure.pause * 2, initialFailedTime, maxFailedTime);
    failure.until = now + failure.pause;
}

void quota_client::chooseKeeper()
{
    const auto now = m_loop.now();
    const bool alone = m_keeper == m_self.id && m_candidates.empty();
    const bool kept = alone || (m_keeper && std::any_of(m_candidates.begin(), m_candidates.end(), [this](const auto &each) { return each.id == *m_keeper; }));
    if (kept) {
        return;
    }
    const auto usable = std::find_if(m_candidates.begin(), m_candidates.end(), [&](const auto &daemon) { return !failing(daemon.id, now); });
    const auto chosen = usable == m_candidates.end() ? m_self : *usable;
    m_linkNumber = ++m_lastLink;
    useKeeper(chosen.id, chosen.id == m_self.id ? nullptr : connect(chosen, m_linkNumber));
}

void quota_client::useKeeper(const daemon_id &id, std::unique_ptr<peer_link> link)
{
    m_keeper = id;
    m_keeperSince = m_loop.now();
    m_withoutLeaseSince.reset();
    m_askedAt.reset();
    retire(std::exchange(m_link, std::move(link)));
    for (auto &[name, state] : m_accounts) {
        state.wallet.clear();
        state.refusedUntil = {};
    }
    DAISYSTILE_LOG(INFO, "quota") << "Tokens of quotas come from this keeper." << field("keeper", id.value);
    if (id == m_self.id) {
        m_own.holdsNothing(m_self.id);
    }
    stateKeeping();
}

void quota_client::retire(std::unique_ptr<peer_link> link)
{
    if (link) {
        m_retired.push_back(std::move(link));
    }
}

// A callback of a link that isn't in use any more is ignored.
std::unique_ptr<peer_link> quota_client::connect(const fleet_daemon &keeper, std::uint64_t number)
{
    peer_link::callbacks notify;
    notify.established = [this, number](const peer_identity &) {
        established(number);
    };
    notify.frame = [this, number](std::string_view frame) {
        received(number, frame);
    };
    notify.closed = [this, number](const connection_error &) {
        linkFailed(number);
    };
    return std::make_unique<peer_link>(m_loop, keeper.queries, m_credentials, std::move(notify));
}

void quota_client::established(std::uint64_t number)
{
    if (number == m_probeNumber && m_probe) {
        // Without accounts it only asks whether the daemon has claims.
        m_probe->send(encodeDelegation(tokens_question {sinceEpoch(m_loop.now()).count(), {}}));
    } else if (number == m_linkNumber) {
        askAll();
    }
}

void quota_client::linkFailed(std::uint64_t number)
{
    if (number == m_probeNumber) {
        endProbe(false);
    } else if (number == m_linkNumber) {
        keeperFailed("link closed");
    }
}

void quota_client::keeperFailed(const char *reason)
{
    if (!m_keeper) {
        return;
    }
    DAISYSTILE_LOG(WARNING, "quota") << "A keeper of quotas gives no tokens." << field("keeper", m_keeper->value) << field("reason", reason);
    noteFailure(*m_keeper, m_loop.now());
    m_failuresInRow += 1;
    m_keeper.reset();
    m_linkNumber = 0;
    m_askedAt.reset();
    // Deferred, because it may be called from a callback of the link.
    m_loop.post([this] {
        chooseKeeper();
        askAll();
    });
}

// The first daemon is returned to once it has claims; until then another one that works isn't left.
void quota_client::probeFirst(monotonic_time now)
{
    if (m_probe && now - m_probeSince > connectTimeout) {
        endProbe(false);
    }
    if (m_probe || m_candidates.empty() || m_keeper == m_candidates.front().id || failing(m_candidates.front().id, now) || now - m_keeperSince < minStay) {
        return;
    }
    const auto &first = m_candidates.front();
    if (first.id == m_self.id) {
        const bool holdsClaims = m_own.answer(m_self.id, {}).validForUs > 0;
        holdsClaims ? useKeeper(first.id, nullptr) : noteFailure(first.id, now);
        return;
    }
    m_probeSince = now;
    m_probed = first.id;
    m_probeNumber = ++m_lastLink;
    m_probe = connect(first, m_probeNumber);
}

void quota_client::endProbe(bool holdsClaims)
{
    const auto number = std::exchange(m_probeNumber, 0);
    if (holdsClaims) {
        m_linkNumber = number;
        useKeeper(m_probed, std::move(m_probe));
    } else {
        noteFailure(m_probed, m_loop.now());
        retire(std::move(m_probe));
    }
}

void quota_client::take(const account_name &account, milliseconds wait, token_callback done)
{
    const auto now = m_loop.now();
    auto &state = m_accounts[account];
    state.wallet.arrived(now);
    if (state.waiting.empty() && state.wallet.take(now)) {
        done({});
    } else if (const auto refusal = refusalNow(state, wait, now)) {
        done(*refusal);
    } else {
        state.waiting.push_back({now + wait, std::move(done)});
    }
    if (!std::exchange(m_askScheduled, true)) {
        m_loop.after(askDelay, [this] {
            m_askScheduled = false;
            askAll();
        });
    }
}

// What would be refused after a wait is refused at once.
std::optional<quota_outcome> quota_client::refusalNow(const account_state &state, milliseconds wait, monotonic_time now) const
{
    if (m_failuresInRow >= failuresToRefuse) {
        return quota_outcome {quota_decision::unknown, unknownRetry};
    }
    if (state.refusedUntil > now + wait) {
        return quota_outcome {quota_decision::exceeded, timeLeft(now, state.refusedUntil)};
    }
    return std::nullopt;
}

void quota_client::askAll()
{
    const auto now = m_loop.now();
    if (!m_keeper || m_askedAt || (m_link && !m_link->established())) {
        return;
    }
    tokens_question question {sinceEpoch(now).count(), {}};
    for (auto &[name, state] : m_accounts) {
        if (now < state.nextAsk) {
            continue;
        }
        const auto back = state.wallet.surplus(now);
        if (const auto asked = state.wallet.ask(static_cast<unsigned>(state.waiting.size()), now)) {
            question.accounts.push_back({name.value, asked->arrived, asked->held, asked->wanted, asked->waiting, back});
        } else if (back > 0) {
            question.accounts.push_back({name.value, 0, state.wallet.tokens(now), 0, 0, back});
        }
    }
    if (!question.accounts.empty()) {
        send(std::move(question));
    }
}

void quota_client::send(tokens_question question)
{
    m_askedAt = m_loop.now();
    question.askedAtUs = sinceEpoch(*m_askedAt).count();
    if (*m_keeper == m_self.id) {
        handle(m_own.answer(m_self.id, question));
    } else if (!m_link->send(encodeDelegation(question))) {
        keeperFailed("link full");
    }
}

void quota_client::received(std::uint64_t number, std::string_view frame)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeDelegation(frame));
            const auto *answer = std::get_if<tokens_answer>(&message);
            if (answer != nullptr && number == m_probeNumber) {
                endProbe(answer->validForUs > 0);
            } else if (answer != nullptr && number == m_linkNumber) {
                handle(*answer);
            }
            return {};
        },
        [&](const connection_error &) { linkFailed(number); },
        [&] { linkFailed(number); });
}

// Counted from when this daemon asked, so that a late answer doesn't make the tokens last longer.
void quota_client::handle(const tokens_answer &answer)
{
    if (!m_askedAt || sinceEpoch(*m_askedAt).count() != answer.askedAtUs) {
        return;
    }
    m_askedAt.reset();
    const auto now = m_loop.now();
    if (answer.validForUs < 0) {
        keeperLeaves();
        return;
    }
    noteLease(answer.validForUs > 0, now);
    const monotonic_time expiry {microseconds {answer.askedAtUs + answer.validForUs}};
    for (const auto &each : answer.accounts) {
        const auto found = m_accounts.find({each.account});
        if (found == m_accounts.end()) {
            continue;
        }
        auto &state = found->second;
        state.wallet.granted(each.tokens, expiry, now);
        noteRefusal(state, answer.validForUs > 0, milliseconds {each.retryAfterMs}, now);
        serveWaiting(state, now);
    }
}

// The keeper gives up what it has claimed once it knows that nobody holds tokens of it.
void quota_client::keeperLeaves()
{
    for (auto &[name, state] : m_accounts) {
        state.wallet.clear();
    }
    if (m_link) {
        m_link->send(encodeDelegation(tokens_question {.askedAtUs = 0, .accounts = {}, .dropped = true}));
    } else {
        m_own.holdsNothing(m_self.id);
    }
    keeperFailed("leaving");
}

void quota_client::noteLease(bool holdsClaims, monotonic_time now)
{
    if (holdsClaims) {
        m_withoutLeaseSince.reset();
        m_failuresInRow = 0;
        m_failures.erase(*m_keeper);
        return;
    }
    m_withoutLeaseSince = m_withoutLeaseSince.value_or(now);
    if (now - *m_withoutLeaseSince > claimTime) {
        keeperFailed("no claims");
    }
}

void quota_client::noteRefusal(account_state &state, bool holdsClaims, milliseconds retryAfter, monotonic_time now)
{
    const bool refused = retryAfter.count() > 0;
    state.refusedUntil = refused && holdsClaims ? now + retryAfter : monotonic_time {};
    state.nextAsk = refused ? now + std::clamp(retryAfter, minAskPause, maxAskPause) : now;
}

// Requests whose clients have left take no token.
void quota_client::serveWaiting(account_state &state, monotonic_time now)
{
    unsigned served = 0;
    while (!state.waiting.empty() && state.wallet.tokens(now) > 0) {
        auto done = std::move(state.waiting.front().done);
        state.waiting.pop_front();
        if (done({})) {
            state.wallet.take(now);
            served += 1;
        }
    }
    state.wallet.served(served);
}

void quota_client::expireWaiting(account_state &state, monotonic_time now)
{
    while (!state.waiting.empty() && (state.waiting.front().until <= now || m_failuresInRow >= failuresToRefuse)) {
        auto done = std::move(state.waiting.front().done);
        state.waiting.pop_front();
        const bool refused = state.refusedUntil != monotonic_time {};
        done(refused ? quota_outcome {quota_decision::exceeded, std::max(minAskPause, timeLeft(now, state.refusedUntil))}
                     : quota_outcome {quota_decision::unknown, unknownRetry});
    }
}

void quota_client::tick()
{
    const auto now = m_loop.now();
    m_retired.clear();
    const bool unanswered = m_askedAt && now - *m_askedAt > answerTimeout;
    const bool unconnected = m_keeper && m_link && !m_link->established() && now - m_keeperSince > connectTimeout;
    if (unanswered || unconnected) {
        for (auto &[name, state] : m_accounts) {
            state.wallet.unanswered();
        }
        keeperFailed(unanswered ? "no answer" : "no connection");
    }
    for (auto &[name, state] : m_accounts) {
        expireWaiting(state, now);
    }
    std::erase_if(m_accounts, [now](const auto &each) { return each.second.waiting.empty() && each.second.wallet.idle(now); });
    chooseKeeper();
    probeFirst(now);
    askAll();
    m_ticking = m_needed;
    if (m_ticking) {
        m_loop.after(tickInterval, [this] { tick(); });
    }
}

} // namespace daisystile
