#pragma once

#include <Process/process.h>

#include <cstdint>

namespace daisystile {

/// Typical latency of one route's requests at backend servers, and the hedge delay derived from it.
class route_latency
{
public:
    explicit route_latency(milliseconds objective = milliseconds {0});

    /// Sets the route's latency objective, which bounds the hedge delay.
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
