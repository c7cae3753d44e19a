#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>

namespace daisystile {

/// Position in the history of the platform's store. A store that comes back from a copy begins a new era, in which it gives out
/// later numbers of the era before again, with other contents. All that is known of the store is ordered by it.
struct store_revision
{
    std::uint64_t number = 0;
    /// 0 for a store that states none.
    std::uint64_t era = 0;

    bool operator==(const store_revision &) const = default;
    std::strong_ordering operator<=>(const store_revision &other) const
    {
        return std::tie(era, number) <=> std::tie(other.era, other.number);
    }

    template<class Archive> void serialize(Archive &archive)
    {
        archive(number, era);
    }
};

/// "NUMBER", or "ERA.NUMBER" in an era above 0.
std::string toString(const store_revision &revision);
/// The revision of such a text; 0 of anything else.
store_revision parseRevision(std::string_view text);

std::ostream &operator<<(std::ostream &stream, const store_revision &revision);

} // namespace daisystile
