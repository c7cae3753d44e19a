#include "setting_forms.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <locale>
#include <sstream>

namespace daisystile {

namespace {

std::string lowerCase(const std::string &text)
{
    std::string lower = text;
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return lower;
}

std::optional<double> numberIn(const std::string &text)
{
    std::istringstream stream(text);
    stream.imbue(std::locale::classic());
    double value = 0;
    stream >> value;
    const bool tooLarge = stream.fail() && std::abs(value) == std::numeric_limits<double>::max();
    if (tooLarge) {
        stream.clear();
        value = value < 0 ? -std::numeric_limits<double>::infinity() : std::numeric_limits<double>::infinity();
    }
    const bool whole = !stream.fail() && (stream >> std::ws).eof();
    return whole ? std::optional(value) : std::nullopt;
}

} // namespace

bool saysNothing(const config_node &node)
{
    // A null of JSON; in TOML, whose nodes have lines, it is a value that no setting has.
    if (std::holds_alternative<std::monostate>(node.value)) {
        return node.line == 0;
    }
    const auto *text = std::get_if<std::string>(&node.value);
    if (text == nullptr) {
        return false;
    }
    const bool blank = text->find_first_not_of(" \t\r\n") == std::string::npos;
    return blank || *text == "null" || text->starts_with(':') || text->ends_with(':');
}

std::optional<double> numberOf(const config_node &node)
{
    if (const auto *whole = std::get_if<std::int64_t>(&node.value)) {
        return static_cast<double>(*whole);
    }
    if (const auto *real = std::get_if<double>(&node.value)) {
        return *real;
    }
    const auto *text = std::get_if<std::string>(&node.value);
    return text == nullptr ? std::nullopt : numberIn(*text);
}

std::optional<bool> truthOf(const config_node &node)
{
    if (const auto *value = std::get_if<bool>(&node.value)) {
        return *value;
    }
    const auto *text = std::get_if<std::string>(&node.value);
    const auto word = text == nullptr ? std::string() : lowerCase(*text);
    if (word != "true" && word != "false") {
        return std::nullopt;
    }
    return word == "true";
}

} // namespace daisystile
