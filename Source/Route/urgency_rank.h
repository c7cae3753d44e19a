#pragma once

#include <Process/process.h>

#include <cstdint>

namespace daisystile {

/// Rank of a request; 0 is the most urgent.
using urgency_rank = strong_value<struct urgency_rank_tag, std::uint32_t>;

} // namespace daisystile
