#include "quota_client.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds tickInterval {50};
// A keeper that hasn't answered a question by then is passed over for a time.
constexpr milliseconds answerTimeout {300};
constexpr milliseconds failedTime {3000};
constexpr milliseconds unknownRetry {500};
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
    const auto *accounts = view.routes ? &view.routes->configuration().accounts : nullptr;
    m_needed = accounts != nullptr && std::any_of(accounts->begin(), accounts->end(), [](const auto &each) { return each.quota.has_value(); });
    if (!m_needed) {
        return;
    }
    chooseKeeper();
    if (!std::exchange(m_ticking, true)) {
        tick();
    }
}

void quota_client::chooseKeeper()
{
    const auto now = m_loop.now();
    const auto usable = std::find_if(m_candidates.begin(), m_candidates.end(), [&](const auto &daemon) {
        const auto failed = m_failedUntil.find(daemon.id);
        return failed == m_failedUntil.end() || failed->second <= now;
    });
    const auto chosen = usable == m_candidates.end() ? m_self : *usable;
    if (m_keeper == chosen.id) {
        return;
    }
    m_keeper = chosen.id;
    m_askedAt.reset();
    if (m_link) {
        m_retired.push_back(std::move(m_link));
    }
    for (auto &[name, state] : m_accounts) {
        state.wallet.clear();
    }
    DAISYSTILE_LOG(INFO, "quota") << "Tokens of quotas come from this keeper." << field("keeper", chosen.id.value);
    const bool own = chosen.id == m_self.id;
    if (own) {
        m_own.connected(m_self.id);
    } else {
        connect(chosen);
    }
    m_keeping(own);
}

void quota_client::connect(const fleet_daemon &keeper)
{
    peer_link::callbacks notify;
    notify.established = [this](const peer_identity &) {
        askAll();
    };
    notify.frame = [this](std::string_view frame) {
        received(frame);
    };
    notify.closed = [this](const connection_error &) {
        keeperFailed();
    };
    m_link = std::make_unique<peer_link>(m_loop, keeper.queries, m_credentials, std::move(notify));
}

void quota_client::keeperFailed()
{
    if (!m_keeper || *m_keeper == m_self.id) {
        return;
    }
    DAISYSTILE_LOG(WARNING, "quota") << "The keeper of quotas doesn't answer." << field("keeper", m_keeper->value);
    m_failedUntil[*m_keeper] = m_loop.now() + failedTime;
    m_keeper.reset();
    m_askedAt.reset();
    // Deferred, because it may be called from a callback of the link.
    m_loop.post([this] {
        chooseKeeper();
        askAll();
    });
}

void quota_client::take(const account_name &account, milliseconds wait, std::function<void(quota_outcome)> done)
{
    const auto now = m_loop.now();
    auto &state = m_accounts[account];
    state.wallet.arrived(now);
    const bool first = state.waiting.empty();
    if (first && state.wallet.take(now)) {
        done({});
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

void quota_client::askAll()
{
    const auto now = m_loop.now();
    if (!m_keeper || m_askedAt || (m_link && !m_link->established())) {
        return;
    }
    tokens_question question {sinceEpoch(now).count(), {}};
    for (auto &[name, state] : m_accounts) {
        const auto back = state.wallet.surplus(now);
        if (const auto asked = state.wallet.ask(static_cast<unsigned>(state.waiting.size()), now)) {
            question.accounts.push_back({name.value, asked->arrived, asked->held, asked->wanted, back});
        } else if (back > 0) {
            question.accounts.push_back({name.value, 0, state.wallet.tokens(now), 0, back});
        }
    }
    if (!question.accounts.empty()) {
        send(std::move(question));
    }
}

void quota_client::send(tokens_question question)
{
    m_askedAt = m_loop.now();
    if (*m_keeper == m_self.id) {
        handle(m_own.answer(m_self.id, question));
    } else if (!m_link->send(encodeDelegation(question))) {
        keeperFailed();
    }
}

void quota_client::received(std::string_view frame)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeDelegation(frame));
            if (const auto *answer = std::get_if<tokens_answer>(&message)) {
                handle(*answer);
            }
            return {};
        },
        [&](const connection_error &) { keeperFailed(); },
        [&] { keeperFailed(); });
}

// Counted from when this daemon asked, so that a late answer doesn't make the tokens last longer.
void quota_client::handle(const tokens_answer &answer)
{
    if (!m_askedAt || sinceEpoch(*m_askedAt).count() != answer.askedAtUs) {
        return;
    }
    m_askedAt.reset();
    const auto now = m_loop.now();
    const monotonic_time expiry {microseconds {answer.askedAtUs + answer.validForUs}};
    for (const auto &each : answer.accounts) {
        const auto found = m_accounts.find({each.account});
        if (found == m_accounts.end()) {
            continue;
        }
        auto &state = found->second;
        state.wallet.granted(each.tokens, expiry);
        state.refused = answer.validForUs > 0 && each.retryAfterMs > 0;
        state.retryAfter = milliseconds {each.retryAfterMs};
        serveWaiting(state, now);
    }
}

void quota_client::serveWaiting(account_state &state, monotonic_time now)
{
    while (!state.waiting.empty() && state.wallet.take(now)) {
        auto done = std::move(state.waiting.front().done);
        state.waiting.pop_front();
        done({});
    }
}

void quota_client::expireWaiting(account_state &state, monotonic_time now)
{
    while (!state.waiting.empty() && state.waiting.front().until <= now) {
        auto done = std::move(state.waiting.front().done);
        state.waiting.pop_front();
        done(state.refused ? quota_outcome {quota_decision::exceeded, state.retryAfter} : quota_outcome {quota_decision::unknown, unknownRetry});
    }
}

void quota_client::tick()
{
    const auto now = m_loop.now();
    m_retired.clear();
    if (m_askedAt && now - *m_askedAt > answerTimeout) {
        for (auto &[name, state] : m_accounts) {
            state.wallet.unanswered();
        }
        keeperFailed();
    }
    for (auto &[name, state] : m_accounts) {
        expireWaiting(state, now);
    }
    std::erase_if(m_accounts, [now](const auto &each) { return each.second.waiting.empty() && each.second.wallet.idle(now); });
    // A keeper that has recovered is used again.
    chooseKeeper();
    askAll();
    m_ticking = m_needed;
    if (m_ticking) {
        m_loop.after(tickInterval, [this] { tick(); });
    }
}

} // namespace daisystile
