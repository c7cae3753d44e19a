#pragma once

#include "config_error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisystile {

struct config_node;
using config_array = std::vector<config_node>;
using config_table = std::map<std::string, config_node>;

/// One value of a TOML or JSON text with its line number.
struct config_node
{
    std::uint32_t line = 0;
    std::variant<std::monostate, bool, std::int64_t, double, std::string, config_array, config_table> value;
};

/// Describes the type or value of a node briefly, for config_error::found.
std::string describe(const config_node &node);

/// Parses TOML, or JSON if the text starts with a brace; the returned node is a table. JSON nodes have no line numbers.
parsed<config_node> readConfigText(std::string_view text, std::string_view fileName);

} // namespace daisystile
