#pragma once

#include <Process/process.h>

#include <array>
#include <cstdint>
#include <vector>

namespace daisystile {

/// Identifies an attempt that runs on a backend server.
using attempt_id = std::uint64_t;

/// What this daemon has observed of one backend server: running attempts, latency and failures. Sends no probes.
class replica_stats
{
public:
    /// An attempt was sent; without an answer by suspectAfter the server counts as stalled.
    void started(attempt_id attempt, monotonic_time now, milliseconds suspectAfter);
    /// The attempt was answered; typicalLatency is that of requests of the same route.
    void answered(attempt_id attempt, monotonic_time now, microseconds typicalLatency);
    /// The attempt or its connection failed; the weight is 1 for a full failure.
    void failed(attempt_id attempt, monotonic_time now, double weight);
    /// The answer is no longer awaited; this says nothing about the server.
    void abandoned(attempt_id attempt);
    /// A failure outside of an attempt, such as a refused connection.
    void failedToConnect(monotonic_time now);

    unsigned running() const;
    /// An attempt has been waiting unusually long and the server has answered nothing since it was sent.
    bool stalled(monotonic_time now) const;
    /// Recent latency relative to the typical one; decays to 1.
    double slowness(monotonic_time now) const;
    /// Exponentially decaying count of failures; 0 for a healthy server.
    double failures(monotonic_time now) const;

private:
    struct running_attempt
    {
        attempt_id id;
        monotonic_time sent;
        monotonic_time suspectAt;
    };

    bool remove(attempt_id attempt, running_attempt &found);
    void addFailure(monotonic_time now, double weight);

    std::vector<running_attempt> m_running;
    monotonic_time m_lastAnswer;
    // Ratios of the latest latencies to the typical one.
    std::array<double, 3> m_ratios {1, 1, 1};
    std::size_t m_nextRatio = 0;
    double m_slowness = 1;
    monotonic_time m_slownessTime;
    double m_failures = 0;
    monotonic_time m_failuresTime;
    // An attempt that was abandoned unanswered keeps the server suspect for a while.
    monotonic_time m_suspectUntil;
};

} // namespace daisystile
