#pragma once

#include <Process/process.h>

#include <cstdint>

namespace daisystile {

/// How long requests of one route usually take at a backend server, and when a second attempt is due.
class route_pace
{
public:
    explicit route_pace(milliseconds objective = milliseconds {0});

    void add(microseconds latency);
    microseconds usual() const;
    milliseconds hedgeDelay() const;

private:
    void refresh();

    recent_latencies m_latencies;
    std::uint64_t m_refreshedAt = 0;
    milliseconds m_objective;
    microseconds m_usual;
    milliseconds m_hedgeDelay;
};

} // namespace daisystile
