#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// Length of one record of a shard's answer; a shorter remainder is not a record.
constexpr std::size_t recordBytes = 16;

/// The greatest records of all bodies together, greatest first, compared byte by byte; equal records all count.
std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count);

} // namespace daisystile
