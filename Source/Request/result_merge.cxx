#include "result_merge.h"

#include <nlohmann/json.hpp>

namespace daisystile {

namespace {

// Tells the parser's place in the text, so that results are cut out rather than parsed into values and written again.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    counting_iterator(const char *at, const char **reached)
        : m_at(at),
          m_reached(reached)
    {
    }

    reference operator*() const
    {
        return *m_at;
    }

    counting_iterator &operator++()
    {
        m_at += 1;
        *m_reached = m_at;
        return *this;
    }

    bool operator==(const counting_iterator &other) const
    {
        return m_at == other.m_at;
    }

    bool operator!=(const counting_iterator &other) const
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
    results_finder(const char *begin, const char *const *reached)
        : m_begin(begin),
          m_reached(reached)
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
            m_slice.begin = place();
        }
        m_depth += 1;
        return true;
    }

    bool end_array() override
    {
        m_depth -= 1;
        if (m_arrayDepth == m_depth) {
            m_slice.end = place() - 1;
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

    std::size_t place() const
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
    const char *reached = body.data();
    results_finder finder(body.data(), &reached);
    const counting_iterator begin(body.data(), &reached);
    const counting_iterator end(body.data() + body.size(), &reached);
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
