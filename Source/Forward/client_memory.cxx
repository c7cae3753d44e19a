#include "client_memory.h"

namespace daisystile {

namespace {

// The budget counts as reached until less than this share is held, so that it is logged once while the amount hovers.
constexpr double reachedShare = 0.75;

metric_counter closedCounter(metrics &registry, const char *cause)
{
    return registry.counter("daisystile_client_connections_closed_for_memory_total", "Connections closed for the memory that they held", {{"cause", cause}});
}

} // namespace

client_memory::client_memory(memory_account &account, metrics &registry)
    : m_account(account),
      m_closed {closedCounter(registry, "unfinished_request"), closedCounter(registry, "pipelined_requests"), closedCounter(registry, "unread_answer")},
      m_refused(registry.counter("daisystile_memory_refusals_total", "Requests refused because too much was held for clients"))
{
    registry.gauge("daisystile_client_memory_allowed_bytes", "Bytes that may be held for clients; 0 for no limit")
        .set(static_cast<double>(account.budgetBytes()));
    for (std::size_t i = 0; i < memoryKindCount; ++i) {
        const std::string kind(toString(static_cast<memory_kind>(i)));
        m_held[i] = registry.gauge("daisystile_client_memory_bytes", "Bytes held for clients, by kind", {{"kind", kind}});
    }
}

memory_account &client_memory::account()
{
    return m_account;
}

void client_memory::closed(memory_cause cause)
{
    noteReached();
    m_closed.at(static_cast<std::size_t>(cause)).add();
    m_closedCount += 1;
}

void client_memory::refused()
{
    noteReached();
    m_refused.add();
    m_refusedCount += 1;
}

void client_memory::noteReached()
{
    if (std::exchange(m_reached, true)) {
        return;
    }
    std::string held;
    for (std::size_t i = 0; i < memoryKindCount; ++i) {
        const auto kind = static_cast<memory_kind>(i);
        held += field(toString(kind), m_account.usedBytes(kind));
    }
    DAISYSTILE_LOG(WARNING, "clients") << "What is held for clients has reached its limit." << field("allowed_bytes", m_account.budgetBytes()) << held;
}

void client_memory::update()
{
    for (std::size_t i = 0; i < memoryKindCount; ++i) {
        m_held[i].set(static_cast<double>(m_account.usedBytes(static_cast<memory_kind>(i))));
    }
    if (m_reached && static_cast<double>(m_account.usedBytes()) < reachedShare * static_cast<double>(m_account.budgetBytes())) {
        m_reached = false;
        DAISYSTILE_LOG(INFO, "clients") << "What is held for clients is below its limit again." << field("closed", std::exchange(m_closedCount, 0))
                                        << field("refused", std::exchange(m_refusedCount, 0));
    }
}

} // namespace daisystile
