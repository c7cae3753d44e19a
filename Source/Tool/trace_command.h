#pragma once

#include "command.h"

namespace daisystile {

int getTrace(const std::vector<std::string> &arguments);
int replayTrace(const std::vector<std::string> &arguments);

/// Prints the log lines of one request from the logs of several processes, sorted by time.
int traceRequest(const std::vector<std::string> &arguments);

} // namespace daisystile
