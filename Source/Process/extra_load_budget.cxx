#include "extra_load_budget.h"

#include <algorithm>

namespace daisystile {

extra_load_budget::extra_load_budget(extra_load_limits limits, double available)
    : m_limits(limits),
      m_available(available)
{
}

void extra_load_budget::firstAttempts(std::size_t count, double share)
{
    m_available = std::min(m_available + static_cast<double>(count) * share, std::max(m_limits.largest, m_available));
}

bool extra_load_budget::take(std::size_t count)
{
    const auto wanted = static_cast<double>(count);
    if (m_available < wanted) {
        return false;
    }
    m_available -= wanted;
    return true;
}

bool extra_load_budget::takeForHedge()
{
    return m_available >= m_limits.hedgeReserve + 1 && take();
}

double extra_load_budget::available() const
{
    return m_available;
}

void extra_load_budget::setLimits(extra_load_limits limits)
{
    m_limits = limits;
    m_available = std::min(m_available, limits.largest);
}

} // namespace daisystile
