#pragma once

#include <Process/process.h>

namespace daisystile {

struct failure_domain
{
    failure_domain_name name;
    region_name region;
    /// Taken out of service by an operator.
    bool out = false;
};

} // namespace daisystile
