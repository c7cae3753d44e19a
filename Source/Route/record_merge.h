#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// Length of one record in a shard's answer; a shorter remainder at the end is ignored.
constexpr std::size_t recordBytes = 16;

/// The greatest records of all bodies in descending bytewise order; duplicates are kept.
std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count);

} // namespace daisystile
