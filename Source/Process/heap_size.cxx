#include "heap_size.h"

#include <algorithm>

namespace daisystile {

namespace {

// The allocator of the C library keeps a size before each block and aligns blocks.
constexpr std::size_t blockHeadBytes = sizeof(std::size_t);
constexpr std::size_t blockAlignmentBytes = 2 * sizeof(std::size_t);
constexpr std::size_t minBlockBytes = 4 * sizeof(std::size_t);

} // namespace

std::size_t heapBlockBytes(std::size_t bytes)
{
    if (bytes == 0) {
        return 0;
    }
    const auto blocks = (bytes + blockHeadBytes + blockAlignmentBytes - 1) / blockAlignmentBytes;
    return std::max(blocks * blockAlignmentBytes, minBlockBytes);
}

std::size_t heapBytesOf(const std::string &text)
{
    static const auto capacityInside = std::string().capacity();
    return text.capacity() > capacityInside ? heapBlockBytes(text.capacity() + 1) : 0;
}

} // namespace daisystile
