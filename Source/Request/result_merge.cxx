#include "result_merge.h"

#include <nlohmann/json.hpp>

namespace daisystile {

namespace {

// Tracks the parser's position in the text, so that results are copied as text instead of being parsed and serialized
// again.
class position_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    position_iterator(const char *at, const char **current)
        : m_at(at),
          m_reached(current)
    {
    }

    reference operator*() const
    {
        return *m_at;
    }

    position_iterator &operator++()
    {
        m_at += 1;
        *m_reached = m_at;
        return *this;
    }

    bool operator==(const position_iterator &other) const
    {
        return m_at == other.m_at;
    }

    bool operator!=(const position_iterator &other) const
    {
        return m_at != other.m_at;
    }

private:
    const char *m_at;
    const char **m_reached;
};

class results_finder : public nlohmann::json_sax<nlohmann::json>
{
public:
    results_finder(const char *begin, const char *const *current)
        : m_begin(begin),
          m_reached(current)
    {
    }

    bool null() override
    {
        return scalar();
    }
    bool boolean(bool) override
    {
        return scalar();
    }
    bool number_integer(number_integer_t) override
    {
        return scalar();
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return scalar();
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return scalar();
    }
    bool string(string_t &) override
    {
        return scalar();
    }
    bool binary(binary_t &) override
    {
        return scalar();
    }

    bool start_object(std::size_t) override
    {
        m_depth += 1;
        return true;
    }

    bool key(string_t &name) override
    {
        if (m_depth == 1) {
            m_resultsKey = name == "results";
        }
        return true;
    }

    bool end_object() override
    {
        m_depth -= 1;
        return true;
    }

    bool start_array(std::size_t) override
    {
        if (m_depth == 0 || (m_depth == 1 && m_resultsKey)) {
            m_arrayDepth = m_depth;
            m_slice.begin = position();
        }
        m_depth += 1;
        return true;
    }

    bool end_array() override
    {
        m_depth -= 1;
        if (m_arrayDepth == m_depth) {
            m_slice.end = position() - 1;
            m_arrayDepth = none;
            m_found = true;
        }
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

    std::optional<results_slice> found() const
    {
        return m_found ? std::optional(m_slice) : std::nullopt;
    }

private:
    static constexpr int none = -1;

    bool scalar() const
    {
        return m_depth > 0;
    }

    std::size_t position() const
    {
        return static_cast<std::size_t>(*m_reached - m_begin);
    }

    const char *m_begin;
    const char *const *m_reached;
    int m_depth = 0;
    int m_arrayDepth = none;
    bool m_resultsKey = false;
    bool m_found = false;
    results_slice m_slice;
};

} // namespace

std::optional<results_slice> findResults(std::string_view body)
{
    const char *current = body.data();
    results_finder finder(body.data(), &current);
    const position_iterator begin(body.data(), &current);
    const position_iterator end(body.data() + body.size(), &current);
    if (!nlohmann::json::sax_parse(begin, end, &finder)) {
        return std::nullopt;
    }
    return finder.found();
}

void appendResults(std::string &array, std::string_view body, results_slice slice)
{
    const auto elements = body.substr(slice.begin, slice.end - slice.begin);
    if (elements.find_first_not_of(" \t\r\n") == std::string_view::npos) {
        return;
    }
    if (array.size() > 1) {
        array += ',';
    }
    array += elements;
}

} // namespace daisystile
