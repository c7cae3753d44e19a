#pragma once

#include "owner_map.h"
#include "ownership.h"

#include <deque>

namespace daisystile {

/// The owner maps of the last moments; a lease from any of them may still run.
class owner_history
{
public:
    explicit owner_history(milliseconds memory);

    /// Takes a new map in and gives the servers for which the daemon is owner or runner-up.
    std::vector<server_choice> replace(owner_map map, const daemon_id &self, monotonic_time now);
    const owner_map &current() const;

private:
    struct dated_map
    {
        owner_map map;
        /// When the next one took its place.
        monotonic_time until;
    };

    bool bothReplaced(const server_choice &choice) const;

    milliseconds m_memory;
    owner_map m_current;
    std::deque<dated_map> m_earlier;
};

} // namespace daisystile
