#pragma once

#include <string>

namespace daisystile {

/// The lines of two texts, those only in the first marked by -, those only in the second by +, others by a space.
std::string lineDiff(const std::string &before, const std::string &after);

} // namespace daisystile
