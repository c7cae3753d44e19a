#pragma once

#include <Process/process.h>

#include <array>
#include <cstdint>
#include <vector>

namespace daisystile {

/// Names an attempt that runs on a backend server.
using attempt_id = std::uint64_t;

/// What this daemon has seen of one backend server: running attempts, speed and failures. Nothing is asked of the server.
class replica_stats
{
public:
    /// An attempt was sent; without an answer by suspectAfter the server counts as stalled.
    void started(attempt_id attempt, monotonic_time now, milliseconds suspectAfter);
    /// It answered; the pace is the usual latency of such requests.
    void answered(attempt_id attempt, monotonic_time now, microseconds pace);
    /// It failed, or its connection did; weight 1 is a whole failure.
    void failed(attempt_id attempt, monotonic_time now, double weight);
    /// The answer is no longer awaited. The server has not shown anything by that.
    void abandoned(attempt_id attempt);
    /// Failure without an attempt, such as a refused connection.
    void failedToConnect(monotonic_time now);

    unsigned running() const;
    /// An attempt waits unusually long and the server has answered nothing since it was sent.
    bool stalled(monotonic_time now) const;
    /// Recent latency over the usual one; 1 without news.
    double slowness(monotonic_time now) const;
    /// Recent failures, fading; 0 for a sound server.
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
    // Latest latencies over the usual one.
    std::array<double, 3> m_ratios {1, 1, 1};
    std::size_t m_nextRatio = 0;
    double m_slowness = 1;
    monotonic_time m_slownessTime;
    double m_failures = 0;
    monotonic_time m_failuresTime;
    // An attempt that was given up unanswered keeps the server suspect for a while.
    monotonic_time m_suspectUntil;
};

} // namespace daisystile
