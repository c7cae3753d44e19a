#include "json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

namespace {

constexpr std::string_view whitespace = " \t\r\n";
constexpr char escape = '\\';

// Reads values off the front of a text. It recognizes only what delimits them: strings, brackets and separators.
class value_splitter
{
public:
    explicit value_splitter(std::string_view text)
        : m_rest(text)
    {
    }

    bool take(char expected)
    {
        skipWhitespace();
        if (m_rest.empty() || m_rest.front() != expected) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    bool atEnd()
    {
        skipWhitespace();
        return m_rest.empty();
    }

    // The next value with its quotes or brackets; empty if there is none or the text ends within it.
    std::string_view takeValue()
    {
        skipWhitespace();
        const auto length = m_rest.empty() ? 0 : lengthOfValue();
        const auto value = m_rest.substr(0, length);
        m_rest.remove_prefix(length);
        return value;
    }

private:
    void skipWhitespace()
    {
        m_rest.remove_prefix(std::min(m_rest.find_first_not_of(whitespace), m_rest.size()));
    }

    std::size_t lengthOfValue() const
    {
        switch (m_rest.front()) {
        case '"':
            return lengthOfString(0);
        case '{':
        case '[':
            return lengthOfContainer();
        default:
            return std::min(m_rest.find_first_of(",:]} \t\r\n"), m_rest.size());
        }
    }

    std::size_t lengthOfString(std::size_t begin) const
    {
        auto at = m_rest.find_first_of("\"\\", begin + 1);
        while (at != std::string_view::npos && m_rest[at] == escape) {
            at = m_rest.find_first_of("\"\\", at + 2);
        }
        return at == std::string_view::npos ? 0 : at + 1 - begin;
    }

    std::size_t lengthOfContainer() const
    {
        std::size_t depth = 0;
        for (std::size_t at = 0; at < m_rest.size(); ++at) {
            const char c = m_rest[at];
            if (c == '"') {
                const auto length = lengthOfString(at);
                if (length == 0) {
                    return 0;
                }
                at += length - 1;
            } else if (c == '{' || c == '[') {
                depth += 1;
            } else if ((c == '}' || c == ']') && --depth == 0) {
                return at + 1;
            }
        }
        return 0;
    }

    std::string_view m_rest;
};

} // namespace

bool jsonNestsTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (inString) {
            at += c == escape ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            depth += 1;
            if (depth > maxJsonNesting) {
                return true;
            }
        } else if (c == '}' || c == ']') {
            depth -= depth > 0 ? 1 : 0;
        }
    }
    return false;
}

nlohmann::json parseForeignJson(std::string_view text)
{
    return jsonNestsTooDeep(text) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(text, nullptr, false);
}

std::optional<json_members> splitJsonObject(std::string_view text)
{
    value_splitter splitter(text);
    if (!splitter.take('{')) {
        return std::nullopt;
    }
    json_members members;
    bool more = !splitter.take('}');
    while (more) {
        const auto name = splitter.takeValue();
        const bool named = name.size() >= 2 && name.front() == '"' && splitter.take(':');
        const auto value = named ? splitter.takeValue() : std::string_view();
        if (value.empty()) {
            return std::nullopt;
        }
        if (name.find(escape) == std::string_view::npos) {
            members.insert_or_assign(name.substr(1, name.size() - 2), value);
        }
        more = splitter.take(',');
        if (!more && !splitter.take('}')) {
            return std::nullopt;
        }
    }
    return splitter.atEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    value_splitter splitter(text);
    if (!splitter.take('[')) {
        return std::nullopt;
    }
    std::vector<std::string_view> elements;
    bool more = !splitter.take(']');
    while (more) {
        const auto value = splitter.takeValue();
        if (value.empty()) {
            return std::nullopt;
        }
        elements.push_back(value);
        more = splitter.take(',');
        if (!more && !splitter.take(']')) {
            return std::nullopt;
        }
    }
    return splitter.atEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

} // namespace daisystile
