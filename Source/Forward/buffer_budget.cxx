#include "buffer_budget.h"

namespace daisystile {

buffer_budget::buffer_budget(std::size_t guaranteedBytes, std::size_t totalBytes)
    : m_guaranteedBytes(guaranteedBytes),
      m_totalBytes(totalBytes)
{
}

std::size_t buffer_budget::usedBytes() const
{
    return m_usedBytes;
}

buffer_share::buffer_share(buffer_budget &budget)
    : m_budget(budget)
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
    return true;
}

} // namespace daisystile
