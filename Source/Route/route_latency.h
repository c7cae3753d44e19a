#pragma once

#include <Process/process.h>

#include <cstdint>

namespace daisystile {

/// How long requests of one route usually take at a backend server, and when a second attempt is due.
class route_latency
{
public:
    explicit route_latency(milliseconds objective = milliseconds {0});

    /// Of the configuration in force; it bounds the delay.
    void setObjective(milliseconds objective);
    void add(microseconds latency);
    microseconds typical() const;
    milliseconds hedgeDelay() const;

private:
    void refresh();

    recent_latencies m_latencies;
    std::uint64_t m_refreshedAt = 0;
    milliseconds m_objective {0};
    microseconds m_typical {0};
    milliseconds m_hedgeDelay {0};
};

} // namespace daisystile
