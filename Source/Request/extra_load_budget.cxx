#include "extra_load_budget.h"

#include <algorithm>

namespace daisystile {

// Upper limit of the unused budget, so that a long quiet period does not allow a retry storm.
static constexpr double maxBudget = 50;
static constexpr double retryReserve = 20;

void extra_load_budget::addFirstAttempts(std::size_t count, double share)
{
    m_available = std::min(m_available + static_cast<double>(count) * share, std::max(maxBudget, m_available));
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
    return m_available >= retryReserve + 1 && take();
}

double extra_load_budget::available() const
{
    return m_available;
}

} // namespace daisystile
