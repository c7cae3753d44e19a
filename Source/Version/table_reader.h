#pragma once

#include "config_node.h"

#include <Process/process.h>

#include <algorithm>
#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace daisystile {

enum class presence {
    required,
    optional,
    /// Usually there, but the rest works without.
    expected,
};

/// How strictly values are read.
enum class reading_rules {
    /// One form for each type; whatever else is found is a mistake.
    exact,
    /// For settings: a value may come in any customary form, and only what is required must be right. Other values are taken
    /// within bounds, or the default is used; unknown keys are ignored. All of that is reported.
    customary,
};

/// Inclusive bounds of a number.
struct number_range
{
    double min;
    double max;
};

/// Reads one table key by key and collects all errors. A target keeps its value if its key is missing or invalid.
class table_reader
{
public:
    table_reader(const config_table &table,
        std::uint32_t line,
        std::string fileName,
        std::string path,
        config_errors &errors,
        reading_rules rules = reading_rules::exact);

    /// Reads a text that is not empty.
    void text(const std::string &key, std::string &target, presence need = presence::required);
    /// Reads a name of lower-case letters, digits and hyphens, since names are used in paths and metrics.
    void name(const std::string &key, std::string &target, presence need = presence::required);
    /// Reads the name of a daemon, which is part of the keys under which it writes its objects.
    void daemonName(const std::string &key, std::string &target, presence need = presence::required);
    /// Reads a SHA-256 digest in lower-case hexadecimal.
    void digest(const std::string &key, std::string &target, presence need = presence::required);
    void digests(const std::string &key, std::vector<std::string> &target);
    void texts(const std::string &key, std::vector<std::string> &target, presence need = presence::required);
    void names(const std::string &key, std::vector<std::string> &target, presence need = presence::required);
    void boolean(const std::string &key, bool &target, presence need = presence::optional);
    void number(const std::string &key, double &target, number_range range, presence need = presence::optional);
    void address(const std::string &key, ip_address &target, presence need = presence::required);
    void addresses(const std::string &key, std::vector<ip_address> &target);

    /// Reads a whole number into an integer or a duration.
    template<class T> void integer(const std::string &key, T &target, number_range range, presence need = presence::optional)
    {
        if (const auto value = wholeNumber(key, range, need, currentValue(target))) {
            target = T(*value);
        }
    }

    /// Reads a time in seconds with fractions, or in whole milliseconds under another key that ends with "_ms". The seconds win.
    void duration(const std::string &secondsKey, const std::string &millisecondsKey, milliseconds &target, number_range rangeMs);

    template<class T>
    void choice(const std::string &key, T &target, std::initializer_list<std::pair<std::string_view, T>> choices, presence need = presence::optional)
    {
        std::string found;
        std::string expected;
        for (const auto &[word, value] : choices) {
            expected += (expected.empty() ? "one of " : ", ") + std::string(word);
        }
        const auto *node = find(key, expected, need);
        if (node == nullptr) {
            return;
        }
        const auto *text = std::get_if<std::string>(&node->value);
        std::string current;
        for (const auto &[word, value] : choices) {
            if (text != nullptr && *text == word) {
                target = value;
                return;
            }
            current = value == target ? word : current;
        }
        addInvalidValue(key, *node, expected, need, current);
    }

    /// Calls the function with a reader for each table of an array, then reports the unknown keys of that table.
    void tables(const std::string &key, const std::function<void(table_reader &)> &readTable, presence need = presence::required);
    void table(const std::string &key, const std::function<void(table_reader &)> &readTable, presence need = presence::optional);

    /// Adds an error about a key that was read, such as a duplicate name.
    void addError(const std::string &key, std::string expected, std::string found);
    /// Adds an error for each key of the table that was not read.
    void reportUnknownKeys();

private:
    const config_node *find(const std::string &key, std::string_view expected, presence need, const std::string &used = "nothing");
    std::optional<std::int64_t> wholeNumber(const std::string &key, number_range range, presence need, double current);
    template<class T> static double currentValue(const T &value)
    {
        if constexpr (std::is_arithmetic_v<T>) {
            return static_cast<double>(value);
        } else if constexpr (requires { value.count(); }) {
            return static_cast<double>(value.count());
        } else {
            return static_cast<double>(value.value);
        }
    }
    void texts(const std::string &key, std::vector<std::string> &target, bool (*valid)(std::string_view), std::string_view expected, presence need);
    void validatedText(const std::string &key, std::string &target, bool (*valid)(std::string_view), std::string_view expected, presence need);
    std::optional<double> numberIn(const config_node &node) const;
    bool customary(presence need) const;
    void addInvalidValue(const std::string &key,
        const config_node &node,
        std::string_view expected,
        presence need = presence::required,
        const std::string &used = "nothing");
    std::string keyPath(const std::string &key) const;

    const config_table &m_table;
    std::uint32_t m_line;
    std::string m_fileName;
    std::string m_path;
    config_errors &m_errors;
    reading_rules m_rules;
    std::set<std::string> m_knownKeys;
};

/// Parses a text and reads its top-level table. Findings are ordered by line.
template<class T>
settings_reading<T> readTable(std::string_view text,
    std::string_view fileName,
    const std::function<void(table_reader &, T &)> &read,
    reading_rules rules = reading_rules::customary)
{
    auto document = readConfigText(text, fileName);
    if (auto *errors = std::get_if<config_errors>(&document)) {
        return {std::nullopt, std::move(*errors)};
    }
    const auto &node = std::get<config_node>(document);
    settings_reading<T> reading;
    reading.settings.emplace();
    auto &all = reading.findings.all;
    table_reader reader(std::get<config_table>(node.value), node.line, std::string(fileName), "", reading.findings, rules);
    read(reader, *reading.settings);
    reader.reportUnknownKeys();
    std::stable_sort(all.begin(), all.end(), [](const auto &left, const auto &right) { return left.line < right.line; });
    if (std::any_of(all.begin(), all.end(), [](const auto &finding) { return finding.severity == config_severity::mistake; })) {
        reading.settings.reset();
    }
    return reading;
}

/// The same with the exact rules. Returns the value, or all errors.
template<class T> parsed<T> parseTable(std::string_view text, std::string_view fileName, const std::function<void(table_reader &, T &)> &read)
{
    return withoutMistakes(readTable(text, fileName, read, reading_rules::exact));
}

} // namespace daisystile
