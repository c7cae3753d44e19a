#include "store_revision.h"

#include <charconv>

namespace daisystile {

namespace {

constexpr char separator = '.';

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    return code == std::errc {} && end == text.data() + text.size() ? number : 0;
}

} // namespace

std::string toString(const store_revision &revision)
{
    const auto number = std::to_string(revision.number);
    return revision.era == 0 ? number : std::to_string(revision.era) + separator + number;
}

store_revision parseRevision(std::string_view text)
{
    const auto split = text.find(separator);
    if (split == std::string_view::npos) {
        return {parseNumber(text)};
    }
    return {parseNumber(text.substr(split + 1)), parseNumber(text.substr(0, split))};
}

std::ostream &operator<<(std::ostream &stream, const store_revision &revision)
{
    return stream << toString(revision);
}

} // namespace daisystile
