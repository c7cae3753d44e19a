#pragma once

#include <Process/process.h>

#include <cstddef>

namespace daisystile {

/// Limit on the bytes of unfinished answers that a daemon holds in memory. Without it, servers that send without end on many
/// connections could use up the daemon's memory although the size of each answer is limited.
class buffer_budget
{
public:
    /// Each answer may use the guaranteed bytes; the total applies to what the answers use beyond that. All of it is charged to the
    /// account, which must outlive the budget.
    buffer_budget(memory_account &account, std::size_t guaranteedBytes, std::size_t totalBytes);

    std::size_t usedBytes() const;
    memory_account &account() const;

private:
    friend class buffer_share;

    memory_account &m_account;
    std::size_t m_guaranteedBytes;
    std::size_t m_totalBytes;
    std::size_t m_usedBytes = 0;
};

/// The part of a budget that one answer uses; returns it on destruction.
class buffer_share
{
public:
    explicit buffer_share(buffer_budget &budget);
    ~buffer_share();
    buffer_share(const buffer_share &) = delete;
    buffer_share &operator=(const buffer_share &) = delete;

    /// Sets the size of the answer so far. Returns false if the budget doesn't allow it.
    bool resize(std::size_t bytes);

private:
    buffer_budget &m_budget;
    memory_charge m_charge;
    std::size_t m_usedBytes = 0;
};

} // namespace daisystile
