#include "table_reader.h"

#include "setting_forms.h"

#include <cmath>
#include <sstream>

namespace daisystile {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxDaemonNameLength = 253;
constexpr double millisecondsPerSecond = 1000;
constexpr std::size_t digestLength = 64;

bool isDigest(std::string_view text)
{
    return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isNotEmpty(std::string_view text)
{
    return !text.empty();
}

// What a path of the store carries as it is.
bool isDaemonName(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= maxDaemonNameLength && text.front() != '.' && text.find_first_not_of(allowed) == std::string_view::npos;
}

constexpr std::string_view expectedDaemonName = "a name of letters, digits, hyphens, underscores and dots";
constexpr std::string_view expectedName = "a name of lower-case letters, digits and hyphens";
constexpr std::string_view expectedDigest = "a SHA-256 digest of 64 lower-case hexadecimal digits";
constexpr std::string_view expectedAddress = "an address as \"IP:PORT\"";

std::string numberText(double value)
{
    std::ostringstream stream;
    stream.precision(15);
    stream << value;
    return stream.str();
}

std::string rangeText(std::string_view kind, number_range range)
{
    return std::string(kind) + " from " + numberText(range.min) + " to " + numberText(range.max);
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

table_reader::table_reader(const config_table &table, std::uint32_t line, std::string fileName, std::string path, config_errors &errors, reading_rules rules)
    : m_table(table),
      m_line(line),
      m_fileName(std::move(fileName)),
      m_path(std::move(path)),
      m_errors(errors),
      m_rules(rules)
{
}

std::string table_reader::keyPath(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

bool table_reader::customary(presence need) const
{
    return m_rules == reading_rules::customary && need != presence::required;
}

void table_reader::addInvalidValue(const std::string &key, const config_node &node, std::string_view expected, presence need, const std::string &used)
{
    config_error finding {m_fileName, node.line, keyPath(key), std::string(expected), describe(node)};
    if (customary(need)) {
        finding.severity = config_severity::within_bounds;
        finding.used = used;
    }
    m_errors.all.push_back(std::move(finding));
}

void table_reader::addError(const std::string &key, std::string expected, std::string found)
{
    const auto entry = m_table.find(key);
    const auto line = entry == m_table.end() ? m_line : entry->second.line;
    m_errors.all.push_back({m_fileName, line, keyPath(key), std::move(expected), std::move(found)});
}

const config_node *table_reader::find(const std::string &key, std::string_view expected, presence need, const std::string &used)
{
    m_knownKeys.insert(key);
    const auto entry = m_table.find(key);
    const bool present = entry != m_table.end();
    if (present && (m_rules == reading_rules::exact || !saysNothing(entry->second))) {
        return &entry->second;
    }
    if (need == presence::optional) {
        return nullptr;
    }
    config_error finding {m_fileName,
        present ? entry->second.line : m_line,
        keyPath(key),
        std::string(expected),
        present ? describe(entry->second) : "nothing",
        need == presence::expected ? config_severity::absent : config_severity::mistake,
        need == presence::expected ? used : ""};
    m_errors.all.push_back(std::move(finding));
    return nullptr;
}

void table_reader::validatedText(const std::string &key, std::string &target, bool (*valid)(std::string_view), std::string_view expected, presence need)
{
    const auto used = target.empty() ? "nothing" : "\"" + target + "\"";
    const auto *node = find(key, expected, need, used);
    if (node == nullptr) {
        return;
    }
    const auto *text = std::get_if<std::string>(&node->value);
    if (text == nullptr || !valid(*text)) {
        addInvalidValue(key, *node, expected, need, used);
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

void table_reader::daemonName(const std::string &key, std::string &target, presence need)
{
    validatedText(key, target, isDaemonName, expectedDaemonName, need);
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
        addInvalidValue(key, *node, "an array", need);
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto &element = (*array)[i];
        const auto *text = std::get_if<std::string>(&element.value);
        if (text == nullptr || !valid(*text)) {
            addInvalidValue(key + "[" + std::to_string(i) + "]", element, expected, need);
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
    const auto *exact = std::get_if<bool>(&node->value);
    const auto value = m_rules == reading_rules::exact ? (exact == nullptr ? std::nullopt : std::optional(*exact)) : truthOf(*node);
    if (!value) {
        addInvalidValue(key, *node, "true or false", need, target ? "true" : "false");
        return;
    }
    target = *value;
}

std::optional<double> table_reader::numberIn(const config_node &node) const
{
    const bool isText = std::holds_alternative<std::string>(node.value);
    const auto value = isText && m_rules == reading_rules::exact ? std::nullopt : numberOf(node);
    return value && std::isnan(*value) ? std::nullopt : value;
}

void table_reader::number(const std::string &key, double &target, number_range range, presence need)
{
    const auto expected = rangeText("a number", range);
    const auto *node = find(key, expected, need, numberText(target));
    if (node == nullptr) {
        return;
    }
    const auto value = numberIn(*node);
    const auto taken = value ? std::clamp(*value, range.min, range.max) : target;
    if (!value || *value != taken) {
        addInvalidValue(key, *node, expected, need, numberText(taken));
        if (!customary(need)) {
            return;
        }
    }
    target = taken;
}

std::optional<std::int64_t> table_reader::wholeNumber(const std::string &key, number_range range, presence need, double current)
{
    const auto expected = rangeText("a whole number", range);
    const auto *node = find(key, expected, need, numberText(current));
    if (node == nullptr) {
        return std::nullopt;
    }
    const bool isWholeType = std::holds_alternative<std::int64_t>(node->value);
    const auto value = isWholeType || m_rules == reading_rules::customary ? numberIn(*node) : std::nullopt;
    const auto taken = value ? std::round(std::clamp(*value, range.min, range.max)) : current;
    if (!value || *value != taken) {
        addInvalidValue(key, *node, expected, need, numberText(taken));
        return customary(need) ? std::optional(static_cast<std::int64_t>(taken)) : std::nullopt;
    }
    return isWholeType ? std::get<std::int64_t>(node->value) : static_cast<std::int64_t>(taken);
}

void table_reader::duration(const std::string &secondsKey, const std::string &millisecondsKey, milliseconds &target, number_range rangeMs)
{
    const bool givenInSeconds = find(secondsKey, "", presence::optional) != nullptr;
    if (!givenInSeconds) {
        integer(millisecondsKey, target, rangeMs);
        return;
    }
    double value = static_cast<double>(target.count()) / millisecondsPerSecond;
    number(secondsKey, value, {rangeMs.min / millisecondsPerSecond, rangeMs.max / millisecondsPerSecond});
    target = milliseconds {std::llround(value * millisecondsPerSecond)};
    if (const auto *other = find(millisecondsKey, "", presence::optional)) {
        addInvalidValue(millisecondsKey, *other, secondsKey + " or this key", presence::optional, secondsKey);
    }
}

void table_reader::address(const std::string &key, ip_address &target, presence need)
{
    const auto *node = find(key, expectedAddress, need);
    if (node == nullptr) {
        return;
    }
    const auto address = parseAddress(*node);
    if (!address) {
        addInvalidValue(key, *node, expectedAddress, need);
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
        addInvalidValue(key, *node, "an array", presence::optional);
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto address = parseAddress((*array)[i]);
        if (!address) {
            addInvalidValue(key + "[" + std::to_string(i) + "]", (*array)[i], expectedAddress, presence::optional);
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
        addInvalidValue(key, *node, "an array of tables", need);
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto &element = (*array)[i];
        const auto path = key + "[" + std::to_string(i) + "]";
        const auto *entries = std::get_if<config_table>(&element.value);
        if (entries == nullptr) {
            addInvalidValue(path, element, "a table", need);
            continue;
        }
        table_reader reader(*entries, element.line, m_fileName, keyPath(path), m_errors, m_rules);
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
        addInvalidValue(key, *node, "a table", need);
        return;
    }
    table_reader reader(*entries, node->line, m_fileName, keyPath(key), m_errors, m_rules);
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
            config_error finding {m_fileName, node.line, keyPath(key), known, "an unknown key"};
            if (m_rules == reading_rules::customary) {
                finding.severity = config_severity::within_bounds;
                finding.used = "nothing";
            }
            m_errors.all.push_back(std::move(finding));
        }
    }
}

} // namespace daisystile
