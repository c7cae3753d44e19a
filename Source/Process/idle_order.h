#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace daisystile {

/// The idle ones of a server's connections by descriptor, in the order in which they became idle. Each call takes constant time.
class idle_order
{
public:
    /// The connection is idle from now on, unless it was before.
    void add(int handle);
    void remove(int handle);
    /// Removes and returns the one that has been idle longest.
    std::optional<int> takeLongest();

private:
    std::list<int> m_handles;
    std::unordered_map<int, std::list<int>::iterator> m_places;
};

} // namespace daisystile
