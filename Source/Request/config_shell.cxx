#include "config_shell.h"

namespace daisystile {

namespace {

constexpr milliseconds tickInterval {100};

std::uint64_t seedOf(const member &self)
{
    return stableHash(self.id.value, self.life.value);
}

} // namespace

config_shell::config_shell(reactor &loop, platform_client &platform, const member &self, callbacks daemon)
    : m_loop(loop),
      m_platform(platform),
      m_daemon(std::move(daemon)),
      m_spread({}, self, seedOf(self), loop.now())
{
}

void config_shell::start()
{
    decide(members_told {});
    tick();
}

void config_shell::tick()
{
    decide(spread_tick {});
    m_loop.after(tickInterval, [this] { tick(); });
}

void config_shell::decide(const spread_event &event)
{
    for (const auto &action : m_spread.decide(event, m_loop.now())) {
        std::visit([this](const auto &one) { carryOut(one); }, action);
    }
}

std::uint64_t config_shell::number() const
{
    return m_spread.number();
}

config_digest config_shell::digest() const
{
    return {m_spread.number(), m_spread.ready()};
}

void config_shell::carryOut(const send_digest &action)
{
    m_daemon.sendDigest(action.to, action.digest);
}

void config_shell::carryOut(const send_pull &action)
{
    m_daemon.sendPeer(action.to, action.pull);
}

void config_shell::carryOut(const send_update &action)
{
    m_daemon.sendPeer(action.to, action.update);
}

void config_shell::carryOut(const list_head &)
{
    m_platform.list(headKey, read_freshness::newest, [this](const list_result &result) { decide(head_listed {result}); });
}

void config_shell::carryOut(const read_record &action)
{
    m_platform.get(recordKey(action.object, action.change), [this, action](const read_result &result) {
        decide(record_read {action.object, action.change, result});
    });
}

void config_shell::carryOut(const watch_head &action)
{
    m_watchNumber += 1;
    m_watch = m_platform.watch(headKey, action.after, [this, number = m_watchNumber](const watch_result &result) {
        if (number == m_watchNumber) {
            decide(watch_ended {result});
        }
    });
}

void config_shell::carryOut(const stop_watch &)
{
    m_watchNumber += 1;
    m_platform.cancel(m_watch);
}

void config_shell::carryOut(const config_changed &)
{
    m_config = buildConfiguration(m_spread.records(), *m_config);
    m_daemon.changed(m_config, m_spread.ready());
}

} // namespace daisystile
