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

/// A bounded priority queue. Each rank has a reserved share of the capacity and of the turns, which prevents starvation.
class slot_queue
{
public:
    explicit slot_queue(std::size_t limit);

    /// Returns the request that was rejected for lack of room, if any: the new one, or a less urgent one of a rank that
    /// exceeds its reserved share.
    std::optional<waiting_request> add(const waiting_request &request);
    std::optional<waiting_request> takeNext();
    bool remove(std::uint64_t id);
    std::vector<waiting_request> takeExpired(monotonic_time now);
    std::vector<waiting_request> takeAll();
    std::size_t size() const;

private:
    std::optional<std::size_t> findVictim(urgency rank) const;

    std::size_t m_limit;
    std::uint32_t m_turn = 0;
    // Ordered by arrival.
    std::deque<waiting_request> m_waiting;
};

} // namespace daisystile
