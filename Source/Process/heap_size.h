#pragma once

#include <cstddef>
#include <string>

namespace daisystile {

/// Bytes that the allocator takes for a block of this size, with what it keeps beside the block.
std::size_t heapBlockBytes(std::size_t bytes);

/// Bytes that a text takes outside of its object; 0 if it fits inside.
std::size_t heapBytesOf(const std::string &text);

} // namespace daisystile
