#include "hash.h"

#include <xxhash.h>

namespace daisystile {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

} // namespace daisystile
