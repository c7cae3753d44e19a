#pragma once

#include "configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// An operator's wish to take a failure domain out of service or back in.
struct domain_state_change
{
    failure_domain_name domain;
    bool out = false;
};

struct domain_unknown
{
    std::vector<failure_domain_name> known;
};

/// The states after a change; domains seen with daemons or servers count as known and in service.
std::variant<std::vector<failure_domain>, domain_unknown>
changedDomains(const std::vector<failure_domain> &states, const std::vector<failure_domain> &seen, const domain_state_change &change);

/// What could not be served any more with these states, a line each: shards without a replica, services without a
/// server, the last failure domain. Only what the change itself takes away.
std::vector<std::string> lossesOf(const configuration &config, const std::vector<failure_domain> &before, const std::vector<failure_domain> &after);

} // namespace daisystile
