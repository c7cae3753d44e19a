#pragma once

#include "contract.h"
#include "failure_domain.h"
#include "service.h"

#include <map>
#include <memory>

namespace daisystile {

/// The configuration in force in a daemon: contracts, service catalogue and failure-domain states.
struct configuration
{
    std::map<customer_id, std::shared_ptr<const contract>> contracts;
    std::map<service_name, std::shared_ptr<const service>> services;
    std::map<failure_domain_name, failure_domain> domains;
    config_version domainsVersion;
};

} // namespace daisystile
