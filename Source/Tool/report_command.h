#pragma once

#include "command.h"

namespace daisystile {

int reportBurn(const std::vector<std::string> &arguments);

} // namespace daisystile
