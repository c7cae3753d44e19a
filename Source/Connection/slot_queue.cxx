#include "slot_queue.h"

#include <algorithm>

namespace daisystile {

// Every n-th turn goes to the request that has waited longest, whatever its rank.
static constexpr std::uint32_t oldestFirstEvery = 4;
// A rank keeps the n-th part of the capacity that more urgent ranks can't displace.
static constexpr std::size_t rankShareDivisor = 8;

slot_queue::slot_queue(std::size_t limit)
    : m_limit(limit)
{
}

std::optional<waiting_request> slot_queue::add(const waiting_request &request)
{
    if (m_waiting.size() < m_limit) {
        m_waiting.push_back(request);
        return std::nullopt;
    }
    const auto victim = findVictim(request.rank);
    if (!victim) {
        return request;
    }
    const auto removed = m_waiting[*victim];
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(*victim));
    m_waiting.push_back(request);
    return removed;
}

std::optional<std::size_t> slot_queue::findVictim(urgency rank) const
{
    std::optional<std::size_t> victim;
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        const auto candidate = m_waiting[i].rank;
        const auto sameRank =
            static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request &other) { return other.rank == candidate; }));
        const bool overItsPart = sameRank > m_limit / rankShareDivisor;
        if (candidate > rank && overItsPart && (!victim || candidate >= m_waiting[*victim].rank)) {
            victim = i;
        }
    }
    return victim;
}

std::optional<waiting_request> slot_queue::takeNext()
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    auto next = m_waiting.begin();
    if (++m_turn % oldestFirstEvery != 0) {
        next = std::min_element(m_waiting.begin(), m_waiting.end(), [](const auto &left, const auto &right) { return left.rank < right.rank; });
    }
    const auto taken = *next;
    m_waiting.erase(next);
    return taken;
}

bool slot_queue::remove(std::uint64_t id)
{
    return std::erase_if(m_waiting, [&](const waiting_request &request) { return request.id == id; }) > 0;
}

std::vector<waiting_request> slot_queue::takeExpired(monotonic_time now)
{
    std::vector<waiting_request> expired;
    const auto isLate = [&](const waiting_request &request) {
        return request.deadline <= now;
    };
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(expired), isLate);
    std::erase_if(m_waiting, isLate);
    return expired;
}

std::vector<waiting_request> slot_queue::takeAll()
{
    std::vector<waiting_request> all(m_waiting.begin(), m_waiting.end());
    m_waiting.clear();
    return all;
}

std::size_t slot_queue::size() const
{
    return m_waiting.size();
}

} // namespace daisystile
