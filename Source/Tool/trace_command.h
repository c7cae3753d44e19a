#pragma once

#include "command.h"

namespace daisystile {

int getTrace(const std::vector<std::string> &arguments);
int replayTrace(const std::vector<std::string> &arguments);

/// Lines of one request from the logs of many processes, in order of time.
int traceRequest(const std::vector<std::string> &arguments);

} // namespace daisystile
