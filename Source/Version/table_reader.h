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
#include <utility>
#include <vector>

namespace daisystile {

enum class presence {
    required,
    optional,
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
    table_reader(const config_table &table, std::uint32_t line, std::string fileName, std::string path, config_errors &errors);

    /// Reads a text that is not empty.
    void text(const std::string &key, std::string &target, presence need = presence::required);
    /// Reads a name of lower-case letters, digits and hyphens, since names are used in paths and metrics.
    void name(const std::string &key, std::string &target, presence need = presence::required);
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
        if (const auto value = wholeNumber(key, range, need)) {
            target = T(*value);
        }
    }

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
        for (const auto &[word, value] : choices) {
            if (text != nullptr && *text == word) {
                target = value;
                return;
            }
        }
        addInvalidValue(key, *node, expected);
    }

    /// Calls the function with a reader for each table of an array, then reports the unknown keys of that table.
    void tables(const std::string &key, const std::function<void(table_reader &)> &readTable, presence need = presence::required);
    void table(const std::string &key, const std::function<void(table_reader &)> &readTable, presence need = presence::optional);

    /// Adds an error about a key that was read, such as a duplicate name.
    void addError(const std::string &key, std::string expected, std::string found);
    /// Adds an error for each key of the table that was not read.
    void reportUnknownKeys();

private:
    const config_node *find(const std::string &key, std::string_view expected, presence need);
    std::optional<std::int64_t> wholeNumber(const std::string &key, number_range range, presence need);
    void texts(const std::string &key, std::vector<std::string> &target, bool (*valid)(std::string_view), std::string_view expected, presence need);
    void validatedText(const std::string &key, std::string &target, bool (*valid)(std::string_view), std::string_view expected, presence need);
    void addInvalidValue(const std::string &key, const config_node &node, std::string_view expected);
    std::string keyPath(const std::string &key) const;

    const config_table &m_table;
    std::uint32_t m_line;
    std::string m_fileName;
    std::string m_path;
    config_errors &m_errors;
    std::set<std::string> m_knownKeys;
};

/// Parses a text and reads its top-level table. Returns the value, or all errors ordered by line.
template<class T> parsed<T> parseTable(std::string_view text, std::string_view fileName, const std::function<void(table_reader &, T &)> &read)
{
    auto document = readConfigText(text, fileName);
    if (auto *errors = std::get_if<config_errors>(&document)) {
        return std::move(*errors);
    }
    const auto &node = std::get<config_node>(document);
    config_errors errors;
    T value;
    table_reader reader(std::get<config_table>(node.value), node.line, std::string(fileName), "", errors);
    read(reader, value);
    reader.reportUnknownKeys();
    if (!errors.all.empty()) {
        std::stable_sort(errors.all.begin(), errors.all.end(), [](const auto &left, const auto &right) { return left.line < right.line; });
        return errors;
    }
    return value;
}

} // namespace daisystile
