#pragma once

#include <Process/process.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daisystile {

struct standin_spec
{
    std::string id;
    std::string service;
    std::string domain;
    bool execute = false;
    std::uint32_t slots = 1;
    /// Connection limit. Connections above it are accepted and counted.
    std::uint32_t connections = 30;
    double latencyMs = 1;
    /// Standard deviation of the logarithm of the service time.
    double latencySigma = 0.3;
    std::vector<std::string> snapshots;
    std::uint64_t mapVersion = 1;
    /// Shards held under each map version.
    std::map<std::uint64_t, std::set<std::uint32_t>> shards;
};

struct standin_faults
{
    /// Multiplies every service time.
    double stragglerFactor = 1;
    std::uint32_t warmUpMs = 5000;
    std::uint32_t coldCapacity = 1;
    /// Multiplies service times while the server is cold.
    double coldFactor = 3;
    std::uint32_t collapseMs = 2000;
    std::uint32_t restartMs = 200;
    /// A request whose body contains this text crashes the server; empty disables the fault.
    std::string crashMarker;
    bool draining = false;
    /// Accepts requests and never responds.
    bool stalled = false;
    double shedProbability = 0;
    /// For the next N requests, closes the connection without a response before, or after, the request is run.
    std::uint32_t resetBeforeNext = 0;
    std::uint32_t resetAfterNext = 0;
    double resetAfterProbability = 0;
    std::uint32_t lateMs = 0;
    double lateProbability = 0;
    /// Probability of responding with the response to the previous request.
    double previousResponseProbability = 0;
    /// Responds from the newest snapshot and shard map version, whichever the request names.
    bool answerNewest = false;
    /// The health and load endpoints always report a healthy, idle server.
    bool reportHealthyAndIdle = false;
    std::uint32_t loadLagMs = 1000;
};

struct standin_counts
{
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    std::uint64_t overCapacityWhileCold = 0;
    std::uint64_t collapses = 0;
    std::uint64_t crashes = 0;
    std::uint64_t restarts = 0;
    std::uint64_t resets = 0;
    std::uint64_t snapshotNotHeld = 0;
    std::uint64_t shardNotHere = 0;
    std::uint64_t pastDeadline = 0;
    std::uint32_t peakRunning = 0;
    std::uint32_t peakRunningCold = 0;
    std::uint32_t peakConnections = 0;
    /// Requests received since mark(), and the time from the mark to the last of them.
    std::uint64_t receivedAfterMark = 0;
    std::int64_t lastAfterMarkMs = -1;
};

struct request_parameters
{
    std::optional<std::uint32_t> shard;
    std::string snapshot;
    std::optional<std::uint64_t> mapVersion;
    std::optional<std::int64_t> deadlineMs;
    bool hasCrashMarker = false;
};

enum class request_outcome {
    runs,
    /// Accepts the request and never responds.
    hangs,
    crashes,
    draining,
    shed,
    deadline_passed,
    snapshot_not_held,
    shard_not_here,
    drops_before_run,
};

struct response_plan
{
    request_outcome outcome = request_outcome::runs;
    double serviceMs = 0;
    double addedLatencyMs = 0;
    bool dropAfterRun = false;
    bool sendPreviousResponse = false;
    std::string snapshot;
    std::uint64_t mapVersion = 0;
};

/// Decides how one simulated backend server treats each request: slots, cold start, collapse and injected faults.
/// Does no I/O.
class backend_server_model
{
public:
    backend_server_model(standin_spec serverSpec, std::uint64_t seed);

    /// An outcome of runs, hangs or crashes occupies a slot until finishRequest() or restart().
    response_plan begin(const request_parameters &parameters, monotonic_time now);
    void finishRequest();
    void restart(monotonic_time now);
    void startWarmUp(monotonic_time now);
    void mark(monotonic_time now);
    bool cold(monotonic_time now) const;
    bool collapsed(monotonic_time now) const;
    std::uint32_t running() const;

    standin_spec spec;
    standin_faults faults;
    standin_counts counts;

private:
    void countReceived(monotonic_time now);
    std::optional<request_outcome> rejection(const request_parameters &parameters);
    request_outcome acquireSlot(monotonic_time now);
    bool chance(double probability);
    double serviceTime(monotonic_time now);

    std::uint32_t m_running = 0;
    monotonic_time m_coldUntil {};
    monotonic_time m_collapsedUntil {};
    std::optional<monotonic_time> m_mark;
    std::mt19937_64 m_random;
};

} // namespace daisystile
