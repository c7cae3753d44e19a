#include "owner_history.h"

#include <algorithm>

namespace daisystile {

// Bounds the memory; when the views change very often, maps are dropped before the retention time.
static constexpr std::size_t maxPreviousMaps = 16;

owner_history::owner_history(milliseconds memory)
    : m_retention(memory)
{
}

const owner_map &owner_history::current() const
{
    return m_current;
}

static std::optional<daemon_id> idOf(const member *some)
{
    return some ? std::optional(some->id) : std::nullopt;
}

std::vector<server_choice> owner_history::replace(owner_map map, const daemon_id &self, monotonic_time now)
{
    m_previous.push_back({std::move(m_current), now});
    m_current = std::move(map);
    while (m_previous.size() > maxPreviousMaps || now - m_previous.front().until > m_retention) {
        m_previous.pop_front();
    }
    std::vector<server_choice> concerning;
    for (const auto &[server, chosen] : m_current.choices()) {
        server_choice choice {server, idOf(chosen.owner), idOf(chosen.runnerUp)};
        if (choice.owner == self || choice.runnerUp == self) {
            choice.bothReplaced = bothReplaced(choice);
            concerning.push_back(std::move(choice));
        }
    }
    return concerning;
}

bool owner_history::bothReplaced(const server_choice &choice) const
{
    const auto stays = [&](const member *some) {
        return some && (choice.owner == some->id || choice.runnerUp == some->id);
    };
    return std::any_of(m_previous.begin(), m_previous.end(), [&](const previous_map &earlier) {
        const auto before = earlier.map.find(choice.server);
        return before.owner && !stays(before.owner) && !stays(before.runnerUp);
    });
}

} // namespace daisystile
