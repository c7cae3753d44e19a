#pragma once

#include <Process/process.h>

#include <array>

namespace daisystile {

/// Why a connection was closed for the memory that it held.
enum class memory_cause {
    /// Its request wasn't complete.
    unfinished_request,
    /// It had sent further requests while one was answered.
    pipelined_requests,
    /// The client didn't take its answer.
    unread_answer,
};

/// Metrics and log of what is held for clients. Logs when the budget is reached and when that is over.
class client_memory
{
public:
    client_memory(memory_account &account, metrics &registry);

    memory_account &account();
    void closed(memory_cause cause);
    void refused();
    /// To be called several times a second.
    void update();

private:
    void noteReached();

    memory_account &m_account;
    std::array<metric_gauge, memoryKindCount> m_held;
    std::array<metric_counter, 3> m_closed;
    metric_counter m_refused;
    bool m_reached = false;
    // Since the budget was reached.
    std::uint64_t m_closedCount = 0;
    std::uint64_t m_refusedCount = 0;
};

} // namespace daisystile
