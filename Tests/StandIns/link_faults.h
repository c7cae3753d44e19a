#pragma once

#include <Process/process.h>

#include <map>
#include <random>
#include <string>

namespace daisystile {

/// Forward is from the client, which connects or sends first, to the target.
enum class flow_direction {
    forward,
    backward,
};

/// Faults that a link injects into the streams or datagrams of one source.
struct link_faults
{
    std::uint32_t delayMs = 0;
    std::uint32_t jitterMs = 0;
    /// Probabilities for each datagram; ignored for streams.
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
    /// Maximum additional delay of a reordered datagram, or of the copy of a duplicated one.
    std::uint32_t reorderMs = 50;
    bool cutForward = false;
    bool cutBackward = false;
    /// Closes the connection to the target and leaves the connection to the client open and silent.
    bool halfOpen = false;
    /// New connections are reset.
    bool refuse = false;
    /// Rate limit of streams in each direction; 0 for no limit.
    std::uint32_t bytesPerSecond = 0;

    bool cut(flow_direction direction) const
    {
        return halfOpen || (direction == flow_direction::forward ? cutForward : cutBackward);
    }
};

/// Faults by the host of the source. The entry of the empty name applies to all hosts without an entry of their own.
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

/// Random decisions and delays from one seed.
class fault_random
{
public:
    explicit fault_random(std::uint64_t seed)
        : m_random(seed)
    {
    }

    bool chance(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<>()(m_random) < probability;
    }

    milliseconds randomDelay(std::uint32_t maximumMs)
    {
        return milliseconds {maximumMs == 0 ? 0 : std::uniform_int_distribution<std::uint32_t>(0, maximumMs)(m_random)};
    }

private:
    std::mt19937_64 m_random;
};

} // namespace daisystile
