#pragma once

#include "config_error.h"

#include <Process/process.h>

#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

struct failure_domain
{
    failure_domain_name name;
    region_name region;
    /// Taken out of service by an operator.
    bool out = false;
};

/// Parses all failure domains and their states.
parsed<std::vector<failure_domain>> parseFailureDomains(std::string_view text, std::string_view fileName);
/// Formats the text that parseFailureDomains() parses.
std::string toText(const std::vector<failure_domain> &domains);

} // namespace daisystile
