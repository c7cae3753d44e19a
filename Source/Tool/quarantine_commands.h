#pragma once

#include "command.h"

namespace daisystile {

int listQuarantine(const std::vector<std::string> &arguments);
int liftQuarantine(const std::vector<std::string> &arguments);

} // namespace daisystile
