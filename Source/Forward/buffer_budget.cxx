#include "buffer_budget.h"

namespace daisystile {

buffer_budget::buffer_budget(memory_account &account, std::size_t guaranteedBytes, std::size_t totalBytes)
    : m_account(account),
      m_guaranteedBytes(guaranteedBytes),
      m_totalBytes(totalBytes)
{
}

std::size_t buffer_budget::usedBytes() const
{
    return m_usedBytes;
}

memory_account &buffer_budget::account() const
{
    return m_account;
}

buffer_share::buffer_share(buffer_budget &budget)
    : m_budget(budget),
      m_charge(budget.m_account, memory_kind::answer)
{
}

buffer_share::~buffer_share()
{
    m_budget.m_usedBytes -= m_usedBytes;
}

bool buffer_share::resize(std::size_t bytes)
{
    const auto used = bytes > m_budget.m_guaranteedBytes ? bytes - m_budget.m_guaranteedBytes : 0;
    const auto others = m_budget.m_usedBytes - m_usedBytes;
    if (used > m_usedBytes && others + used > m_budget.m_totalBytes) {
        return false;
    }
    m_budget.m_usedBytes = others + used;
    m_usedBytes = used;
    m_charge.set(bytes);
    return true;
}

} // namespace daisystile
