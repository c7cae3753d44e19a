#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace daisystile {

/// Byte range of the result elements within a shard's body.
struct results_slice
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

/// Validates a shard's body, either {"results":[...]} or a bare array, and locates its results. Returns none for any
/// other body.
std::optional<results_slice> findResults(std::string_view body);
/// Appends a body's results to the text of a JSON array under construction.
void appendResults(std::string &array, std::string_view body, results_slice slice);

} // namespace daisystile
