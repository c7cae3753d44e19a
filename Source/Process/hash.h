#pragma once

#include <cstdint>
#include <string_view>

namespace daisystile {

/// 64-bit hash that yields the same value on every daemon.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Compares two secrets in constant time for a given length.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace daisystile
