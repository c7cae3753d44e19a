#include "extra_load_budget.h"

#include <algorithm>

namespace daisystile {

// Unused budget above this is lost, so that a long calm can't pay for a flood of retries.
static constexpr double largestBudget = 50;
static constexpr double retryReserve = 20;

void extra_load_budget::firstAttempts(std::size_t count, double share)
{
    m_available = std::min(m_available + static_cast<double>(count) * share, std::max(largestBudget, m_available));
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
