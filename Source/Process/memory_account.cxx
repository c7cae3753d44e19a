#include "memory_account.h"

namespace daisystile {

namespace {

// Freeing more than the excess keeps a full account from choosing connections again for each byte that arrives.
constexpr std::size_t roomDivisor = 8;

std::size_t placeOf(memory_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

std::string_view toString(memory_kind kind)
{
    constexpr std::array<std::string_view, memoryKindCount> names {"connection", "input", "request", "attempt", "answer", "output"};
    return names.at(placeOf(kind));
}

memory_account::memory_account(std::size_t budgetBytes)
    : m_budgetBytes(budgetBytes)
{
}

std::size_t memory_account::usedBytes(memory_kind kind) const
{
    return m_byKind.at(placeOf(kind));
}

std::size_t memory_account::usedBytes() const
{
    return m_usedBytes;
}

std::size_t memory_account::budgetBytes() const
{
    return m_budgetBytes;
}

bool memory_account::exceeded() const
{
    return m_budgetBytes != 0 && m_usedBytes > m_budgetBytes;
}

std::size_t memory_account::excessBytes() const
{
    return exceeded() ? m_usedBytes - (m_budgetBytes - m_budgetBytes / roomDivisor) : 0;
}

memory_charge::memory_charge(memory_account &account, memory_kind kind)
    : m_account(account),
      m_kind(kind)
{
}

memory_charge::~memory_charge()
{
    set(0);
}

void memory_charge::set(std::size_t bytes)
{
    auto &ofKind = m_account.m_byKind.at(placeOf(m_kind));
    ofKind = ofKind - m_bytes + bytes;
    m_account.m_usedBytes = m_account.m_usedBytes - m_bytes + bytes;
    m_bytes = bytes;
}

void memory_charge::add(std::size_t bytes)
{
    set(m_bytes + bytes);
}

std::size_t memory_charge::bytes() const
{
    return m_bytes;
}

} // namespace daisystile
