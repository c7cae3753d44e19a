#include "retry_budgets.h"

namespace daisystile {

namespace {

// The sum of the daemons' budgets must stay below the fleet's limit while the fleet's size changes.
constexpr double usableRatio = 0.9;
constexpr double usableSlack = 0.8;
constexpr double hedgeReserveShare = 0.3;

} // namespace

retry_budgets::retry_budgets(const coordinator_table &coordinators)
    : m_coordinators(coordinators)
{
}

retry_budget &retry_budgets::of(const service_name &service, const fleet_bounds &bounds)
{
    const double share = bounds.retrySlack * usableSlack * m_coordinators.sendersOf(service).limitShare;
    const retry_budget_limits limits {
        .window = bounds.retryWindow, .ratio = bounds.retryRatio * usableRatio, .slack = share, .hedgeReserve = share * hedgeReserveShare};
    const auto [found, isNew] = m_budgets.try_emplace(service, limits);
    if (!isNew) {
        found->second.setTerms(limits);
    }
    return found->second;
}

} // namespace daisystile
