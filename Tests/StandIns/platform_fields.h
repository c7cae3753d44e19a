#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace daisystile {

/// The fields from which the platform fills in the template of a daemon's settings.
nlohmann::json platformFields();

/// The text of platform/daemon.toml.in.
std::string platformTemplate();

} // namespace daisystile
