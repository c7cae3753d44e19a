#pragma once

#include <cstdint>
#include <string_view>

namespace daisystile {

/// 64-bit hash that yields the same value on every daemon. The values must not change between releases: the owners of
/// servers and journals are chosen by them, so that different values would assign servers to other owners, and claim
/// records in the platform contain fingerprints of requests that are computed with it.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Compares two secrets in constant time for a given length, so that the response time doesn't reveal how many leading
/// bytes of a guessed token or signature are correct.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace daisystile
