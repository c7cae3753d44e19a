#include "idle_order.h"

namespace daisystile {

void idle_order::add(int handle)
{
    if (!m_places.contains(handle)) {
        m_places[handle] = m_handles.insert(m_handles.end(), handle);
    }
}

void idle_order::remove(int handle)
{
    if (const auto place = m_places.extract(handle)) {
        m_handles.erase(place.mapped());
    }
}

std::optional<int> idle_order::takeLongest()
{
    if (m_handles.empty()) {
        return std::nullopt;
    }
    const int longest = m_handles.front();
    remove(longest);
    return longest;
}

} // namespace daisystile
