#include "config_node.h"

#include <Process/process.h>

#include <nlohmann/json.hpp>
#include <toml++/toml.h>

#include <algorithm>
#include <sstream>

namespace daisystile {

namespace {

constexpr std::size_t maxDescribedTextLength = 40;
// The TOML library bounds the nesting of values, but not the number of parts of a key, each of which is a table.
constexpr std::size_t maxKeyDots = 32;

config_node convert(const toml::node &node);

config_node convertTable(const toml::table &table)
{
    config_table entries;
    for (const auto &[key, value] : table) {
        auto entry = convert(value);
        if (entry.line == 0) {
            entry.line = key.source().begin.line;
        }
        entries.emplace(std::string(key.str()), std::move(entry));
    }
    return {static_cast<std::uint32_t>(table.source().begin.line), std::move(entries)};
}

config_node convertArray(const toml::array &array)
{
    config_array elements;
    for (const auto &element : array) {
        elements.push_back(convert(element));
    }
    return {static_cast<std::uint32_t>(array.source().begin.line), std::move(elements)};
}

config_node convert(const toml::node &node)
{
    if (const auto *table = node.as_table()) {
        return convertTable(*table);
    }
    if (const auto *array = node.as_array()) {
        return convertArray(*array);
    }
    config_node result;
    result.line = node.source().begin.line;
    if (const auto *text = node.as_string()) {
        result.value = text->get();
    } else if (const auto *integer = node.as_integer()) {
        result.value = integer->get();
    } else if (const auto *number = node.as_floating_point()) {
        result.value = number->get();
    } else if (const auto *boolean = node.as_boolean()) {
        result.value = boolean->get();
    }
    return result;
}

bool exceedsSigned(const nlohmann::json &json)
{
    return json.is_number_unsigned() && json.get<std::uint64_t>() > INT64_MAX;
}

config_node convert(const nlohmann::json &json)
{
    config_node result;
    if (json.is_object()) {
        config_table entries;
        for (const auto &[key, value] : json.items()) {
            entries.emplace(key, convert(value));
        }
        result.value = std::move(entries);
    } else if (json.is_array()) {
        config_array elements;
        for (const auto &element : json) {
            elements.push_back(convert(element));
        }
        result.value = std::move(elements);
    } else if (json.is_string()) {
        result.value = json.get<std::string>();
    } else if (json.is_boolean()) {
        result.value = json.get<bool>();
    } else if (json.is_number_integer() && !exceedsSigned(json)) {
        result.value = json.get<std::int64_t>();
    } else if (json.is_number()) {
        result.value = json.get<double>();
    }
    return result;
}

// Recurses no deeper than what it accepts.
bool nestsTooDeep(const toml::node &node, std::size_t depth)
{
    if (depth > maxJsonNesting) {
        return true;
    }
    const auto childTooDeep = [depth](const auto &child) {
        return nestsTooDeep(child, depth + 1);
    };
    if (const auto *table = node.as_table()) {
        return std::any_of(table->begin(), table->end(), [&](const auto &entry) { return childTooDeep(entry.second); });
    }
    const auto *array = node.as_array();
    return array != nullptr && std::any_of(array->begin(), array->end(), childTooDeep);
}

constexpr const char *tooDeepFound = "deeper nesting";

std::string tooDeepExpected()
{
    return "values nested " + std::to_string(maxJsonNesting) + " levels deep at most";
}

config_errors singleError(std::string_view fileName, std::uint32_t line, std::string expected, std::string found)
{
    return {{{std::string(fileName), line, "", std::move(expected), std::move(found)}}};
}

parsed<config_node> readJson(std::string_view text, std::string_view fileName)
{
    if (jsonNestsTooDeep(text)) {
        return singleError(fileName, 0, tooDeepExpected(), tooDeepFound);
    }
    // The library also throws on numbers out of range and on invalid escapes.
    try {
        return convert(nlohmann::json::parse(text));
    } catch (const nlohmann::json::parse_error &error) {
        const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
        const auto line = 1 + std::count(text.begin(), end, '\n');
        return singleError(fileName, static_cast<std::uint32_t>(line), "well-formed JSON", "a syntax error near byte " + std::to_string(error.byte));
    } catch (const nlohmann::json::exception &) {
        return singleError(fileName, 0, "well-formed JSON", "a value that cannot be represented");
    }
}

// Whether a run of characters that could be one key has more dots than a key may have. Strings count too: what looks like
// the end of a string may lie inside a longer one.
bool hasLongKey(std::string_view text)
{
    std::size_t dots = 0;
    bool lineStarts = true;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (lineStarts && c == '#') {
            at = std::min(text.find('\n', at), text.size());
            continue;
        }
        lineStarts = c == '\n' || (lineStarts && (c == ' ' || c == '\t'));
        dots = c == '\n' || c == ',' || c == '=' ? 0 : dots + (c == '.' ? 1 : 0);
        if (dots > maxKeyDots) {
            return true;
        }
    }
    return false;
}

parsed<config_node> readToml(std::string_view text, std::string_view fileName)
{
    if (hasLongKey(text)) {
        return singleError(fileName, 0, "keys of " + std::to_string(maxKeyDots + 1) + " parts at most", "a longer key");
    }
    const auto result = toml::parse(text);
    if (!result) {
        const auto &error = result.error();
        return singleError(fileName, error.source().begin.line, "well-formed TOML", std::string(error.description()));
    }
    if (nestsTooDeep(result.table(), 0)) {
        return singleError(fileName, 0, tooDeepExpected(), tooDeepFound);
    }
    return convertTable(result.table());
}

struct node_description
{
    std::string operator()(std::monostate) const
    {
        return "a value of another type";
    }

    std::string operator()(bool value) const
    {
        return value ? "true" : "false";
    }

    std::string operator()(std::int64_t value) const
    {
        return std::to_string(value);
    }

    std::string operator()(double value) const
    {
        std::ostringstream stream;
        stream << value;
        return stream.str();
    }

    std::string operator()(const std::string &value) const
    {
        return "\"" + (value.size() <= maxDescribedTextLength ? value : value.substr(0, maxDescribedTextLength) + "...") + "\"";
    }

    std::string operator()(const config_array &value) const
    {
        return "an array of " + std::to_string(value.size());
    }

    std::string operator()(const config_table &) const
    {
        return "a table";
    }
};

} // namespace

std::string describe(const config_node &node)
{
    return std::visit(node_description {}, node.value);
}

parsed<config_node> readConfigText(std::string_view text, std::string_view fileName)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first != std::string_view::npos && text[first] == '{') {
        return readJson(text, fileName);
    }
    return readToml(text, fileName);
}

} // namespace daisystile
