#pragma once

#include <Process/process.h>

#include <map>
#include <random>
#include <string>

namespace daisystile {

/// Forward is from who connects, or sends first, to the target.
enum class flow_direction {
    forward,
    backward,
};

/// What a link does to the bytes or datagrams of one source.
struct link_faults
{
    std::uint32_t delayMs = 0;
    std::uint32_t jitterMs = 0;
    /// Shares of datagrams; streams have no use for them.
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
    /// A datagram out of order comes up to so much later.
    std::uint32_t reorderMs = 50;
    bool cutForward = false;
    bool cutBackward = false;
    /// The target's side is closed and the other side is left open and silent.
    bool halfOpen = false;
    /// New connections are reset.
    bool refuse = false;
    /// Streams only; 0 for no limit.
    std::uint32_t bytesPerSecond = 0;

    bool cut(flow_direction direction) const
    {
        return halfOpen || (direction == flow_direction::forward ? cutForward : cutBackward);
    }
};

/// Faults by the source's host; those of the empty name hold for all others.
class link_fault_table
{
public:
    link_faults &edit(const std::string &source)
    {
        return m_faults.try_emplace(source, at("")).first->second;
    }

    const link_faults &at(const std::string &source) const
    {
        static const link_faults none;
        auto found = m_faults.find(source);
        if (found == m_faults.end()) {
            found = m_faults.find("");
        }
        return found == m_faults.end() ? none : found->second;
    }

    void clear()
    {
        m_faults.clear();
    }

private:
    std::map<std::string, link_faults> m_faults;
};

struct link_counts
{
    std::uint64_t connections = 0;
    std::uint64_t resets = 0;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t dropped = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t reordered = 0;
};

/// Chance and delay from one seed.
class fault_dice
{
public:
    explicit fault_dice(std::uint64_t seed)
        : m_random(seed)
    {
    }

    bool chance(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<>()(m_random) < probability;
    }

    milliseconds upTo(std::uint32_t longestMs)
    {
        return milliseconds {longestMs == 0 ? 0 : std::uniform_int_distribution<std::uint32_t>(0, longestMs)(m_random)};
    }

private:
    std::mt19937_64 m_random;
};

} // namespace daisystile
