#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace daisystile {

/// Levels of arrays and objects that are read in text from other processes.
inline constexpr std::size_t maxJsonNesting = 64;

/// Whether arrays and objects in JSON text nest deeper than maxJsonNesting. What copies, compares or formats a parsed value
/// uses stack for each level.
bool jsonNestsTooDeep(std::string_view text);

/// Parses JSON text from another process. The result is discarded (is_discarded()) if the text is malformed, holds a value
/// that can't be represented, or nests deeper than maxJsonNesting.
nlohmann::json parseForeignJson(std::string_view text);

/// The texts of the members of an object by name, as they stand; names that contain escapes are left out. The views refer to the text.
using json_members = std::map<std::string_view, std::string_view>;

/// Split an object or an array into the texts of its values without parsing these, so that a value which can't be read
/// hides none of the others. Empty if the text is no object or no array, or if it ends early.
std::optional<json_members> splitJsonObject(std::string_view text);
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

} // namespace daisystile
