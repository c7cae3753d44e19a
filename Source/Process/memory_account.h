#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace daisystile {

/// What a process holds memory for on behalf of its clients.
enum class memory_kind {
    /// Open connections themselves.
    connection,
    /// Requests that are being read, and what was received after them.
    input,
    /// Requests that were read and not yet answered.
    request,
    /// Copies of requests on their way to servers.
    attempt,
    /// Answers of servers that are being read.
    answer,
    /// Answers that clients have not taken yet.
    output,
};

constexpr std::size_t memoryKindCount = 6;

std::string_view toString(memory_kind kind);

/// The bytes that one thread holds for clients, against a budget. Counts what is reserved, also where it isn't filled.
class memory_account
{
public:
    /// A budget of 0 is no limit.
    explicit memory_account(std::size_t budgetBytes = 0);

    std::size_t usedBytes(memory_kind kind) const;
    std::size_t usedBytes() const;
    std::size_t budgetBytes() const;
    /// True if more is held than the budget allows.
    bool exceeded() const;
    /// What has to be freed until there is some room again; 0 unless the budget is exceeded.
    std::size_t excessBytes() const;

private:
    friend class memory_charge;

    std::size_t m_budgetBytes;
    std::size_t m_usedBytes = 0;
    std::array<std::size_t, memoryKindCount> m_byKind {};
};

/// What one holder has reserved of one kind; taken off the account, which must outlive it, on destruction.
class memory_charge
{
public:
    memory_charge(memory_account &account, memory_kind kind);
    ~memory_charge();
    memory_charge(const memory_charge &) = delete;
    memory_charge &operator=(const memory_charge &) = delete;

    void set(std::size_t bytes);
    void add(std::size_t bytes);
    std::size_t bytes() const;

private:
    memory_account &m_account;
    memory_kind m_kind;
    std::size_t m_bytes = 0;
};

} // namespace daisystile
