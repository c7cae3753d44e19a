#pragma once

#include "command.h"

namespace daisystile {

int checkConfig(const std::vector<std::string> &arguments);

} // namespace daisystile
