#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace daisystile {

/// What follows from a finding.
enum class config_severity {
    /// The text can't be used.
    mistake,
    /// Another value is used in the place of the one found.
    within_bounds,
    /// A value that is usually there isn't; the rest works without.
    absent,
};

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
    config_severity severity = config_severity::mistake;
    /// What is used instead; empty for a mistake.
    std::string used;
};

/// Writes "FILE:LINE: KEY: expected EXPECTED, found FOUND", and ", used USED" if something is.
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

/// Settings as far as they can be used, and everything found in their text.
template<class T> struct settings_reading
{
    /// Empty after a mistake.
    std::optional<T> settings;
    config_errors findings;
};

/// Returns true if a value was mistaken, whether or not another one is used; an absent value isn't a mistake.
bool hasMistakes(const config_errors &findings);

/// The findings as errors of a text that isn't used.
config_errors asMistakes(config_errors findings);

/// The settings, or all findings as errors if there is any mistake.
template<class T> parsed<T> withoutMistakes(settings_reading<T> reading)
{
    if (!reading.settings || hasMistakes(reading.findings)) {
        return asMistakes(std::move(reading.findings));
    }
    return std::move(*reading.settings);
}

} // namespace daisystile
