#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace daisystile {

/// Fills in a template as the platform does for a daemon: {{a.b}}, {{a.0}}, {{a|json}}, {{.}}, {{@}}, {{,}}, and sections {{#a}} and
/// {{^a}}. Nothing is escaped.
std::string fillTemplate(std::string_view text, const nlohmann::json &fields);

} // namespace daisystile
