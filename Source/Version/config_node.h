#pragma once

#include "config_mistake.h"

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

/// One value of a TOML or JSON text with the line that it stands on.
struct config_node
{
    std::uint32_t line = 0;
    std::variant<std::monostate, bool, std::int64_t, double, std::string, config_array, config_table> value;
};

/// The type and value of a node in a few words, for a mistake's found.
std::string describe(const config_node &node);

/// Reads TOML; the node is a table. JSON is read when the text starts with a brace; its nodes have no lines.
parsed<config_node> readConfigText(std::string_view text, std::string_view fileName);

} // namespace daisystile
