#pragma once

#include "owner_map.h"
#include "ownership.h"

#include <deque>

namespace daisystile {

/// The current owner map and recent previous ones; leases granted under those may still be valid.
class owner_history
{
public:
    explicit owner_history(milliseconds memory);

    /// Replaces the current map, and returns the servers for which the daemon is owner or runner-up.
    std::vector<server_choice> replace(owner_map map, const daemon_id &self, monotonic_time now);
    const owner_map &current() const;

private:
    struct previous_map
    {
        owner_map map;
        /// When the map was replaced.
        monotonic_time until;
    };

    bool bothReplaced(const server_choice &choice) const;

    milliseconds m_retention;
    owner_map m_current;
    std::deque<previous_map> m_previous;
};

} // namespace daisystile
