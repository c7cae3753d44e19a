#include "table_reader.h"

#include <cmath>
#include <sstream>

namespace daisystile {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t digestLength = 64;

bool isDigest(std::string_view text)
{
    return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isNotEmpty(std::string_view text)
{
    return !text.empty();
}

constexpr std::string_view expectedName = "a name of lower-case letters, digits and hyphens";
constexpr std::string_view expectedDigest = "a SHA-256 digest of 64 lower-case hexadecimal digits";
constexpr std::string_view expectedAddress = "an address as \"IP:PORT\"";

std::string rangeText(std::string_view kind, number_range range)
{
    std::ostringstream stream;
    stream.precision(15);
    stream << kind << " from " << range.min << " to " << range.max;
    return stream.str();
}

std::optional<ip_address> parseAddress(const config_node &node)
{
    const auto *text = std::get_if<std::string>(&node.value);
    if (text == nullptr) {
        return std::nullopt;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<ip_address>> {
            BOOST_LEAF_AUTO(address, parseIpAddress(*text));
            return std::optional<ip_address>(address);
        },
        [] { return std::optional<ip_address>(); });
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

table_reader::table_reader(const config_table &table, std::uint32_t line, std::string fileName, std::string path, config_errors &errors)
    : m_table(table),
      m_line(line),
      m_fileName(std::move(fileName)),
      m_path(std::move(path)),
      m_errors(errors)
{
}

std::string table_reader::keyPath(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void table_reader::addInvalidValue(const std::string &key, const config_node &node, std::string_view expected)
{
    m_errors.all.push_back({m_fileName, node.line, keyPath(key), std::string(expected), describe(node)});
}

void table_reader::addError(const std::string &key, std::string expected, std::string found)
{
    const auto entry = m_table.find(key);
    const auto line = entry == m_table.end() ? m_line : entry->second.line;
    m_errors.all.push_back({m_fileName, line, keyPath(key), std::move(expected), std::move(found)});
}

const config_node *table_reader::find(const std::string &key, std::string_view expected, presence need)
{
    m_knownKeys.insert(key);
    const auto entry = m_table.find(key);
    if (entry != m_table.end()) {
        return &entry->second;
    }
    if (need == presence::required) {
        m_errors.all.push_back({m_fileName, m_line, keyPath(key), std::string(expected), "nothing"});
    }
    return nullptr;
}

void table_reader::validatedText(const std::string &key, std::string &target, bool (*valid)(std::string_view), std::string_view expected, presence need)
{
    const auto *node = find(key, expected, need);
    if (node == nullptr) {
        return;
    }
    const auto *text = std::get_if<std::string>(&node->value);
    if (text == nullptr || !valid(*text)) {
        addInvalidValue(key, *node, expected);
        return;
    }
    target = *text;
}

void table_reader::text(const std::string &key, std::string &target, presence need)
{
    validatedText(key, target, isNotEmpty, "a text", need);
}

void table_reader::name(const std::string &key, std::string &target, presence need)
{
    validatedText(key, target, isName, expectedName, need);
}

void table_reader::digest(const std::string &key, std::string &target, presence need)
{
    validatedText(key, target, isDigest, expectedDigest, need);
}

void table_reader::texts(const std::string &key, std::vector<std::string> &target, bool (*valid)(std::string_view), std::string_view expected, presence need)
{
    const auto *node = find(key, "an array", need);
    if (node == nullptr) {
        return;
    }
    const auto *array = std::get_if<config_array>(&node->value);
    if (array == nullptr) {
        addInvalidValue(key, *node, "an array");
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto &element = (*array)[i];
        const auto *text = std::get_if<std::string>(&element.value);
        if (text == nullptr || !valid(*text)) {
            addInvalidValue(key + "[" + std::to_string(i) + "]", element, expected);
            continue;
        }
        target.push_back(*text);
    }
}

void table_reader::digests(const std::string &key, std::vector<std::string> &target)
{
    texts(key, target, isDigest, expectedDigest, presence::required);
}

void table_reader::texts(const std::string &key, std::vector<std::string> &target, presence need)
{
    texts(key, target, isNotEmpty, "a text", need);
}

void table_reader::names(const std::string &key, std::vector<std::string> &target, presence need)
{
    texts(key, target, isName, expectedName, need);
}

void table_reader::boolean(const std::string &key, bool &target, presence need)
{
    const auto *node = find(key, "true or false", need);
    if (node == nullptr) {
        return;
    }
    if (const auto *value = std::get_if<bool>(&node->value)) {
        target = *value;
        return;
    }
    addInvalidValue(key, *node, "true or false");
}

void table_reader::number(const std::string &key, double &target, number_range range, presence need)
{
    const auto expected = rangeText("a number", range);
    const auto *node = find(key, expected, need);
    if (node == nullptr) {
        return;
    }
    double value = std::nan("");
    if (const auto *whole = std::get_if<std::int64_t>(&node->value)) {
        value = static_cast<double>(*whole);
    } else if (const auto *real = std::get_if<double>(&node->value)) {
        value = *real;
    }
    // NaN fails both comparisons.
    if (!(value >= range.min && value <= range.max)) {
        addInvalidValue(key, *node, expected);
        return;
    }
    target = value;
}

std::optional<std::int64_t> table_reader::wholeNumber(const std::string &key, number_range range, presence need)
{
    const auto expected = rangeText("a whole number", range);
    const auto *node = find(key, expected, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto *value = std::get_if<std::int64_t>(&node->value);
    if (value == nullptr || static_cast<double>(*value) < range.min || static_cast<double>(*value) > range.max) {
        addInvalidValue(key, *node, expected);
        return std::nullopt;
    }
    return *value;
}

void table_reader::address(const std::string &key, ip_address &target, presence need)
{
    const auto *node = find(key, expectedAddress, need);
    if (node == nullptr) {
        return;
    }
    const auto address = parseAddress(*node);
    if (!address) {
        addInvalidValue(key, *node, expectedAddress);
        return;
    }
    target = *address;
}

void table_reader::addresses(const std::string &key, std::vector<ip_address> &target)
{
    const auto *node = find(key, "an array", presence::optional);
    if (node == nullptr) {
        return;
    }
    const auto *array = std::get_if<config_array>(&node->value);
    if (array == nullptr) {
        addInvalidValue(key, *node, "an array");
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto address = parseAddress((*array)[i]);
        if (!address) {
            addInvalidValue(key + "[" + std::to_string(i) + "]", (*array)[i], expectedAddress);
            continue;
        }
        target.push_back(*address);
    }
}

void table_reader::tables(const std::string &key, const std::function<void(table_reader &)> &readTable, presence need)
{
    const auto *node = find(key, "an array of tables", need);
    if (node == nullptr) {
        return;
    }
    const auto *array = std::get_if<config_array>(&node->value);
    if (array == nullptr) {
        addInvalidValue(key, *node, "an array of tables");
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto &element = (*array)[i];
        const auto path = key + "[" + std::to_string(i) + "]";
        const auto *entries = std::get_if<config_table>(&element.value);
        if (entries == nullptr) {
            addInvalidValue(path, element, "a table");
            continue;
        }
        table_reader reader(*entries, element.line, m_fileName, keyPath(path), m_errors);
        readTable(reader);
        reader.reportUnknownKeys();
    }
}

void table_reader::table(const std::string &key, const std::function<void(table_reader &)> &readTable, presence need)
{
    const auto *node = find(key, "a table", need);
    if (node == nullptr) {
        return;
    }
    const auto *entries = std::get_if<config_table>(&node->value);
    if (entries == nullptr) {
        addInvalidValue(key, *node, "a table");
        return;
    }
    table_reader reader(*entries, node->line, m_fileName, keyPath(key), m_errors);
    readTable(reader);
    reader.reportUnknownKeys();
}

void table_reader::reportUnknownKeys()
{
    std::string known;
    for (const auto &key : m_knownKeys) {
        known += (known.empty() ? "one of " : ", ") + key;
    }
    for (const auto &[key, node] : m_table) {
        if (m_knownKeys.count(key) == 0) {
            m_errors.all.push_back({m_fileName, node.line, keyPath(key), known, "an unknown key"});
        }
    }
}

} // namespace daisystile
