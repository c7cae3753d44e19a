#pragma once

#include "peer_messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace daisystile {

struct waiting_request
{
    std::uint64_t id = 0;
    urgency rank = urgency::normal;
    monotonic_time deadline;
};

/// A short queue, most urgent first; each rank keeps a part of the room and of the turns.
class slot_queue
{
public:
    explicit slot_queue(std::size_t limit);

    /// The request that finds no room, if any: the new one, or a less urgent one that has more than its part.
    std::optional<waiting_request> add(const waiting_request &request);
    std::optional<waiting_request> takeNext();
    bool remove(std::uint64_t id);
    std::vector<waiting_request> takeExpired(monotonic_time now);
    std::vector<waiting_request> takeAll();
    std::size_t size() const;

private:
    std::optional<std::size_t> victimFor(urgency rank) const;

    std::size_t m_limit;
    std::uint32_t m_turn = 0;
    // In order of arrival.
    std::deque<waiting_request> m_waiting;
};

} // namespace daisystile
