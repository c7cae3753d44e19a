#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace daisystile {

/// Place of the elements of a shard's results within its body.
struct results_slice
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

/// Checks a shard's body once, {"results":[...]} or a bare array, and finds its results; none when it is anything else.
std::optional<results_slice> findResults(std::string_view body);
/// Adds a body's results to an array text that is being built, with a comma where needed.
void appendResults(std::string &array, std::string_view body, results_slice slice);

} // namespace daisystile
