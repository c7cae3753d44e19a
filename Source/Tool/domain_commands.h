#pragma once

#include "command.h"

namespace daisystile {

int takeDomainOutOfService(const std::vector<std::string> &arguments);
int putDomainIntoService(const std::vector<std::string> &arguments);
int listDomains(const std::vector<std::string> &arguments);

} // namespace daisystile
