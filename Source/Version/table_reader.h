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

/// Bounds of a number, both included.
struct number_range
{
    double least;
    double most;
};

/// Reads one table key by key and collects every mistake; a target keeps its value when its key is absent or mistaken.
class table_reader
{
public:
    table_reader(const config_table &table, std::uint32_t line, std::string fileName, std::string path, config_mistakes &mistakes);

    /// Any text that is not empty.
    void text(const std::string &key, std::string &target, presence need = presence::required);
    /// Lower-case letters, digits and hyphens, as names in paths and metrics.
    void name(const std::string &key, std::string &target, presence need = presence::required);
    /// A SHA-256 digest in lower-case hexadecimal.
    void digest(const std::string &key, std::string &target, presence need = presence::required);
    void digests(const std::string &key, std::vector<std::string> &target);
    void texts(const std::string &key, std::vector<std::string> &target, presence need = presence::required);
    void names(const std::string &key, std::vector<std::string> &target, presence need = presence::required);
    void boolean(const std::string &key, bool &target, presence need = presence::optional);
    void number(const std::string &key, double &target, number_range range, presence need = presence::optional);
    void address(const std::string &key, ip_address &target, presence need = presence::required);
    void addresses(const std::string &key, std::vector<ip_address> &target);

    /// A whole number into an integer or a duration.
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
        mistake(key, *node, expected);
    }

    /// Calls with a reader for each table of an array; unknown keys in it are reported after the call.
    void tables(const std::string &key, const std::function<void(table_reader &)> &readOne, presence need = presence::required);
    void table(const std::string &key, const std::function<void(table_reader &)> &readOne, presence need = presence::optional);

    /// Reports a mistake of a key that was read, such as a repeated name.
    void mistaken(const std::string &key, std::string expected, std::string found);
    /// Reports the keys that nobody asked for.
    void finish();

private:
    const config_node *find(const std::string &key, std::string_view expected, presence need);
    std::optional<std::int64_t> wholeNumber(const std::string &key, number_range range, presence need);
    void texts(const std::string &key, std::vector<std::string> &target, bool (*valid)(std::string_view), std::string_view expected, presence need);
    void checkedText(const std::string &key, std::string &target, bool (*valid)(std::string_view), std::string_view expected, presence need);
    void mistake(const std::string &key, const config_node &node, std::string_view expected);
    std::string pathOf(const std::string &key) const;

    const config_table &m_table;
    std::uint32_t m_line;
    std::string m_fileName;
    std::string m_path;
    config_mistakes &m_mistakes;
    std::set<std::string> m_known;
};

/// Reads a whole text through one reader; the value, or all mistakes ordered by line.
template<class T> parsed<T> parseTable(std::string_view text, std::string_view fileName, const std::function<void(table_reader &, T &)> &read)
{
    auto document = readConfigText(text, fileName);
    if (auto *mistakes = std::get_if<config_mistakes>(&document)) {
        return std::move(*mistakes);
    }
    const auto &node = std::get<config_node>(document);
    config_mistakes mistakes;
    T value;
    table_reader reader(std::get<config_table>(node.value), node.line, std::string(fileName), "", mistakes);
    read(reader, value);
    reader.finish();
    if (!mistakes.all.empty()) {
        std::stable_sort(mistakes.all.begin(), mistakes.all.end(), [](const auto &left, const auto &right) { return left.line < right.line; });
        return mistakes;
    }
    return value;
}

} // namespace daisystile
