#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisystile {

/// One mistake in a text that an operator wrote.
struct config_mistake
{
    std::string file;
    /// From 1; 0 where the text has no lines to name.
    std::uint32_t line = 0;
    /// Dotted path of the key, such as servers[2].address.
    std::string key;
    std::string expected;
    std::string found;
};

/// "FILE:LINE: KEY: expected E, found F".
std::ostream &operator<<(std::ostream &stream, const config_mistake &mistake);

/// All mistakes of a text, in the order of its lines.
struct config_mistakes
{
    std::vector<config_mistake> all;
};

/// One line a mistake.
std::string toString(const config_mistakes &mistakes);

/// True for lower-case letters, digits and hyphens, as in names of customers, services and failure domains.
bool isName(std::string_view text);

/// What a parse function returns: the value, or every mistake at once.
template<class T> using parsed = std::variant<T, config_mistakes>;

} // namespace daisystile
