#include "config_replicator.h"

namespace daisystile {

namespace {

constexpr milliseconds tickInterval {100};

std::uint64_t seedOf(const member &self)
{
    return stableHash(self.id.value, self.incarnationNumber.value);
}

} // namespace

config_replicator::config_replicator(reactor &loop, platform_client &platform, const member &self, callbacks handlers)
    : m_loop(loop),
      m_platform(platform),
      m_callbacks(std::move(handlers)),
      m_sync({}, self, seedOf(self), loop.now())
{
}

void config_replicator::start()
{
    decide(members_updated {});
    tick();
}

void config_replicator::tick()
{
    decide(config_sync_tick {});
    m_loop.after(tickInterval, [this] { tick(); });
}

void config_replicator::decide(const config_sync_event &event)
{
    for (const auto &action : m_sync.decide(event, m_loop.now())) {
        std::visit([this](const auto &one) { perform(one); }, action);
    }
}

std::uint64_t config_replicator::number() const
{
    return m_sync.number();
}

config_digest config_replicator::digest() const
{
    return {m_sync.number(), m_sync.ready()};
}

void config_replicator::perform(const send_digest &action)
{
    m_callbacks.sendDigest(action.to, action.digest);
}

void config_replicator::perform(const send_pull &action)
{
    m_callbacks.sendPeer(action.to, action.pull);
}

void config_replicator::perform(const send_update &action)
{
    m_callbacks.sendPeer(action.to, action.update);
}

void config_replicator::perform(const list_head &)
{
    m_platform.list(headKey, read_freshness::newest, [this](const list_result &result) { decide(head_listed {result}); });
}

void config_replicator::perform(const read_record &action)
{
    m_platform.get(recordKey(action.object, action.change), [this, action](const read_result &result) {
        decide(record_read {action.object, action.change, result});
    });
}

void config_replicator::perform(const watch_head &action)
{
    m_watchNumber += 1;
    m_watch = m_platform.watch(headKey, action.after, [this, number = m_watchNumber](const watch_result &result) {
        if (number == m_watchNumber) {
            decide(watch_ended {result});
        }
    });
}

void config_replicator::perform(const stop_watch &)
{
    m_watchNumber += 1;
    m_platform.cancel(m_watch);
}

void config_replicator::perform(const config_changed &)
{
    m_config = buildConfiguration(m_sync.records(), *m_config);
    m_callbacks.changed(m_config, m_sync.ready());
}

} // namespace daisystile
