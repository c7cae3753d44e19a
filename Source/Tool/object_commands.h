#pragma once

#include "command.h"

namespace daisystile {

/// Subcommands shared by contracts and services; each returns an exit code.
int applyObject(config_kind kind, const std::vector<std::string> &arguments);
int listObjects(config_kind kind, const std::vector<std::string> &arguments);
int getObject(config_kind kind, const std::vector<std::string> &arguments);
int objectHistory(config_kind kind, const std::vector<std::string> &arguments);
int diffObject(config_kind kind, const std::vector<std::string> &arguments);
int revertObject(config_kind kind, const std::vector<std::string> &arguments);

} // namespace daisystile
