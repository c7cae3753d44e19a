#pragma once

#include "coordinator_table.h"

#include <map>

namespace daisystile {

/// This daemon's share of the fleet's limits on extra attempts, for each service.
class retry_budgets
{
public:
    explicit retry_budgets(const coordinator_table &coordinators);

    retry_budget &of(const service_name &service, const fleet_bounds &bounds);

private:
    const coordinator_table &m_coordinators;
    std::map<service_name, retry_budget> m_budgets;
};

} // namespace daisystile
