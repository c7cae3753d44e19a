#pragma once

#include "command.h"

namespace daisystile {

int getTrace(const std::vector<std::string> &arguments);
int replayTrace(const std::vector<std::string> &arguments);

} // namespace daisystile
