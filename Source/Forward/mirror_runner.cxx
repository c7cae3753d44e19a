#include "mirror_runner.h"

namespace daisystile {

namespace {

constexpr milliseconds lapseCheckInterval {250};

} // namespace

mirror_runner::mirror_runner(reactor &loop,
    platform_client &store,
    std::string prefix,
    watch_verification verification,
    mirror_limits limits,
    std::function<void()> changed)
    : m_loop(loop),
      m_verification(verification),
      m_store(store),
      m_prefix(std::move(prefix)),
      m_mirror(limits, stableHash(randomBytes(8))),
      m_changed(std::move(changed))
{
}

const object_mirror &mirror_runner::mirror() const
{
    return m_mirror;
}

void mirror_runner::setBatchDelay(milliseconds newDelay)
{
    m_mirror.setBatchDelay(newDelay);
}

void mirror_runner::follow()
{
    if (m_following) {
        return;
    }
    m_following = true;
    step(reload_requested {});
    m_checkTimer = m_loop.after(m_verification.interval, [this] { check(); });
}

void mirror_runner::stopFollowing()
{
    if (!m_following) {
        return;
    }
    m_following = false;
    m_loop.cancelTimer(m_checkTimer);
    endCalls();
}

bool mirror_runner::following() const
{
    return m_following;
}

void mirror_runner::reload()
{
    step(reload_requested {});
}

void mirror_runner::takeRelayed(mirror_relayed update)
{
    step(std::move(update));
}

void mirror_runner::onHistoryLost(std::function<void()> callback)
{
    m_historyLost = std::move(callback);
}

void mirror_runner::onReachabilityChanged(std::function<void()> callback)
{
    m_reachabilityChanged = std::move(callback);
}

void mirror_runner::onRevisionChanged(std::function<void()> callback)
{
    m_revisionChanged = std::move(callback);
}

void mirror_runner::onVerified(std::function<void(monotonic_time)> callback)
{
    m_verified = std::move(callback);
}

void mirror_runner::step(const mirror_event &event)
{
    const bool wasUnreachable = m_mirror.storeUnreachable();
    const auto before = m_mirror.changes();
    const auto revisionBefore = m_mirror.revision();
    const auto action = m_mirror.decide(event, m_loop.now());
    const bool reachChanged = wasUnreachable != m_mirror.storeUnreachable();
    if (reachChanged) {
        DAISYSTILE_LOG(WARNING, "store") << (wasUnreachable ? "Store is reachable again." : "Store is unreachable.") << field("prefix", m_prefix);
    }
    if (before != m_mirror.changes()) {
        m_changed();
    }
    dropLapsed();
    perform(action);
    const auto *watched = std::get_if<mirror_watched>(&event);
    if (watched != nullptr && std::holds_alternative<watch_compacted>(watched->result)) {
        DAISYSTILE_LOG(WARNING, "store") << "Watch history was compacted; reading all objects again." << field("prefix", m_prefix);
        m_historyLost();
    }
    if (reachChanged) {
        m_reachabilityChanged();
    }
    if (revisionBefore != m_mirror.revision()) {
        m_revisionChanged();
    }
}

void mirror_runner::perform(const mirror_action &action)
{
    std::visit([this](const auto &each) { start(each); }, action);
}

// Each call replaces the previous one; a late answer to an earlier call is ignored.
void mirror_runner::start(const watch_objects &watch)
{
    endCalls();
    if (!m_following) {
        return;
    }
    m_watch = m_store.watch(m_prefix, watch.after, [this, call = m_call](watch_result result) {
        if (call == m_call) {
            m_watch = 0;
            step(mirror_watched {std::move(result)});
        }
    });
}

void mirror_runner::start(const start_timer &wait)
{
    endCalls();
    m_loop.after(wait.delay, [this, call = m_call] {
        if (call == m_call) {
            step(mirror_timer {});
        }
    });
}

void mirror_runner::start(const read_all_objects &)
{
    endCalls();
    m_store.list(m_prefix, read_freshness::newest, [this, call = m_call, askedAt = m_loop.now()](const list_result &result) {
        if (call == m_call) {
            step(mirror_listed {result});
            listed(result, askedAt);
        }
    });
}

void mirror_runner::start(const no_action &)
{
}

void mirror_runner::endCalls()
{
    m_call += 1;
    const auto watch = std::exchange(m_watch, 0);
    if (watch != 0) {
        m_store.cancel(watch);
    }
}

// Only a pending watch can miss changes.
void mirror_runner::check()
{
    m_checkTimer = m_loop.after(m_verification.interval, [this] { check(); });
    if (m_watch == 0) {
        return;
    }
    m_store.list(m_prefix, m_verification.freshness, [this, call = m_call, askedAt = m_loop.now()](const list_result &result) {
        if (call != m_call) {
            return;
        }
        step(mirror_checked {result});
        if (m_verification.freshness == read_freshness::newest) {
            listed(result, askedAt);
        }
    });
}

// A listing that was outdated, or that shows the mirror to be, has made it read all objects anew.
void mirror_runner::listed(const list_result &result, monotonic_time askedAt)
{
    if (std::holds_alternative<object_list>(result) && m_mirror.upToDate()) {
        m_verified(askedAt);
    }
}

void mirror_runner::dropLapsed()
{
    const auto before = m_mirror.changes();
    const auto next = m_mirror.dropLapsed(m_loop.now());
    if (before != m_mirror.changes()) {
        m_changed();
    }
    if (next && !m_lapseTimer) {
        m_lapseTimer = true;
        m_loop.after(lapseCheckInterval, [this] {
            m_lapseTimer = false;
            dropLapsed();
        });
    }
}

} // namespace daisystile
