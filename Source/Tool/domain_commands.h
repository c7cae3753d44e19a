#pragma once

#include "command.h"

namespace daisystile {

int takeDomainOut(const std::vector<std::string> &arguments);
int takeDomainIn(const std::vector<std::string> &arguments);
int listDomains(const std::vector<std::string> &arguments);

} // namespace daisystile
