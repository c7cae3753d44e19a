#pragma once

#include "configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// An operator's request to take a failure domain out of service or to put it back into service.
struct domain_state_change
{
    failure_domain_name domain;
    bool out = false;
};

/// The requested failure domain does not exist.
struct unknown_domain
{
    std::vector<failure_domain_name> known;
};

/// Returns the states after a change. Domains without a stored state that daemons or servers belong to are known and in
/// service.
std::variant<std::vector<failure_domain>, unknown_domain>
applyDomainChange(const std::vector<failure_domain> &states, const std::vector<failure_domain> &seen, const domain_state_change &change);

/// Describes, one entry each, what the change would make unavailable: shards without a replica, services without a backend
/// server, and the last failure domain in service. Leaves out what was unavailable before the change.
std::vector<std::string> describeLosses(const configuration &config, const std::vector<failure_domain> &before, const std::vector<failure_domain> &after);

} // namespace daisystile
