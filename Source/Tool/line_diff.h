#pragma once

#include <string>

namespace daisystile {

/// Line diff of two texts. Lines only in the first have the prefix "- ", lines only in the second "+ ", common lines
/// two spaces.
std::string lineDiff(const std::string &before, const std::string &after);

} // namespace daisystile
