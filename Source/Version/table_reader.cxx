#include "table_reader.h"

#include <cmath>
#include <sstream>

namespace daisystile {

namespace {

constexpr std::size_t longestName = 63;
constexpr std::size_t digestLength = 64;

bool isDigest(std::string_view text)
{
    return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isNotEmpty(std::string_view text)
{
    return !text.empty();
}

constexpr std::string_view nameExpected = "a name of lower-case letters, digits and hyphens";
constexpr std::string_view digestExpected = "a SHA-256 digest of 64 lower-case hexadecimal digits";
constexpr std::string_view addressExpected = "an address as \"IP:PORT\"";

std::string rangeText(std::string_view kind, number_range range)
{
    std::ostringstream stream;
    stream.precision(15);
    stream << kind << " from " << range.least << " to " << range.most;
    return stream.str();
}

std::optional<ip_address> addressOf(const config_node &node)
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
    return !text.empty() && text.size() <= longestName && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

table_reader::table_reader(const config_table &table, std::uint32_t line, std::string fileName, std::string path, config_mistakes &mistakes)
    : m_table(table),
      m_line(line),
      m_fileName(std::move(fileName)),
      m_path(std::move(path)),
      m_mistakes(mistakes)
{
}

std::string table_reader::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void table_reader::mistake(const std::string &key, const config_node &node, std::string_view expected)
{
    m_mistakes.all.push_back({m_fileName, node.line, pathOf(key), std::string(expected), describe(node)});
}

void table_reader::mistaken(const std::string &key, std::string expected, std::string found)
{
    const auto entry = m_table.find(key);
    const auto line = entry == m_table.end() ? m_line : entry->second.line;
    m_mistakes.all.push_back({m_fileName, line, pathOf(key), std::move(expected), std::move(found)});
}

const config_node *table_reader::find(const std::string &key, std::string_view expected, presence need)
{
    m_known.insert(key);
    const auto entry = m_table.find(key);
    if (entry != m_table.end()) {
        return &entry->second;
    }
    if (need == presence::required) {
        m_mistakes.all.push_back({m_fileName, m_line, pathOf(key), std::string(expected), "nothing"});
    }
    return nullptr;
}

void table_reader::checkedText(const std::string &key, std::string &target, bool (*valid)(std::string_view), std::string_view expected, presence need)
{
    const auto *node = find(key, expected, need);
    if (node == nullptr) {
        return;
    }
    const auto *text = std::get_if<std::string>(&node->value);
    if (text == nullptr || !valid(*text)) {
        mistake(key, *node, expected);
        return;
    }
    target = *text;
}

void table_reader::text(const std::string &key, std::string &target, presence need)
{
    checkedText(key, target, isNotEmpty, "a text", need);
}

void table_reader::name(const std::string &key, std::string &target, presence need)
{
    checkedText(key, target, isName, nameExpected, need);
}

void table_reader::digest(const std::string &key, std::string &target, presence need)
{
    checkedText(key, target, isDigest, digestExpected, need);
}

void table_reader::texts(const std::string &key, std::vector<std::string> &target, bool (*valid)(std::string_view), std::string_view expected, presence need)
{
    const auto *node = find(key, "an array", need);
    if (node == nullptr) {
        return;
    }
    const auto *array = std::get_if<config_array>(&node->value);
    if (array == nullptr) {
        mistake(key, *node, "an array");
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto &element = (*array)[i];
        const auto *text = std::get_if<std::string>(&element.value);
        if (text == nullptr || !valid(*text)) {
            mistake(key + "[" + std::to_string(i) + "]", element, expected);
            continue;
        }
        target.push_back(*text);
    }
}

void table_reader::digests(const std::string &key, std::vector<std::string> &target)
{
    texts(key, target, isDigest, digestExpected, presence::required);
}

void table_reader::texts(const std::string &key, std::vector<std::string> &target, presence need)
{
    texts(key, target, isNotEmpty, "a text", need);
}

void table_reader::names(const std::string &key, std::vector<std::string> &target, presence need)
{
    texts(key, target, isName, nameExpected, need);
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
    mistake(key, *node, "true or false");
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
    // Not a number fails both comparisons.
    if (!(value >= range.least && value <= range.most)) {
        mistake(key, *node, expected);
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
    if (value == nullptr || static_cast<double>(*value) < range.least || static_cast<double>(*value) > range.most) {
        mistake(key, *node, expected);
        return std::nullopt;
    }
    return *value;
}

void table_reader::address(const std::string &key, ip_address &target, presence need)
{
    const auto *node = find(key, addressExpected, need);
    if (node == nullptr) {
        return;
    }
    const auto address = addressOf(*node);
    if (!address) {
        mistake(key, *node, addressExpected);
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
        mistake(key, *node, "an array");
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto address = addressOf((*array)[i]);
        if (!address) {
            mistake(key + "[" + std::to_string(i) + "]", (*array)[i], addressExpected);
            continue;
        }
        target.push_back(*address);
    }
}

void table_reader::tables(const std::string &key, const std::function<void(table_reader &)> &readOne, presence need)
{
    const auto *node = find(key, "an array of tables", need);
    if (node == nullptr) {
        return;
    }
    const auto *array = std::get_if<config_array>(&node->value);
    if (array == nullptr) {
        mistake(key, *node, "an array of tables");
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto &element = (*array)[i];
        const auto path = key + "[" + std::to_string(i) + "]";
        const auto *entries = std::get_if<config_table>(&element.value);
        if (entries == nullptr) {
            mistake(path, element, "a table");
            continue;
        }
        table_reader reader(*entries, element.line, m_fileName, pathOf(path), m_mistakes);
        readOne(reader);
        reader.finish();
    }
}

void table_reader::table(const std::string &key, const std::function<void(table_reader &)> &readOne, presence need)
{
    const auto *node = find(key, "a table", need);
    if (node == nullptr) {
        return;
    }
    const auto *entries = std::get_if<config_table>(&node->value);
    if (entries == nullptr) {
        mistake(key, *node, "a table");
        return;
    }
    table_reader reader(*entries, node->line, m_fileName, pathOf(key), m_mistakes);
    readOne(reader);
    reader.finish();
}

void table_reader::finish()
{
    std::string known;
    for (const auto &key : m_known) {
        known += (known.empty() ? "one of " : ", ") + key;
    }
    for (const auto &[key, node] : m_table) {
        if (m_known.count(key) == 0) {
            m_mistakes.all.push_back({m_fileName, node.line, pathOf(key), known, "an unknown key"});
        }
    }
}

} // namespace daisystile
