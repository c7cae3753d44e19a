#pragma once

#include "command.h"

namespace daisystile {

int showStatus(const std::vector<std::string> &arguments);

} // namespace daisystile
