#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisystile {

/// One error in a configuration text written by an operator.
struct config_error
{
    std::string file;
    /// Counted from 1; 0 if the line is not known.
    std::uint32_t line = 0;
    /// Path of the key, such as servers[2].address; empty if the error concerns no single key.
    std::string key;
    std::string expected;
    std::string found;
};

/// Writes "FILE:LINE: KEY: expected EXPECTED, found FOUND".
std::ostream &operator<<(std::ostream &stream, const config_error &error);

/// All errors of a text in the order of its lines.
struct config_errors
{
    std::vector<config_error> all;
};

/// Formats one error per line.
std::string toString(const config_errors &errors);

/// Returns true for a valid name of a customer, service or failure domain: lower-case letters, digits and hyphens.
bool isName(std::string_view text);

/// Result of a parse function: the value, or all errors of the text.
template<class T> using parsed = std::variant<T, config_errors>;

} // namespace daisystile
