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
    /// Connections that it bears; more are counted, not refused.
    std::uint32_t connections = 30;
    double latencyMs = 1;
    /// Spread of the logarithm of the service time.
    double latencySigma = 0.3;
    std::vector<std::string> snapshots;
    std::uint64_t mapVersion = 1;
    /// Shards held under each map version.
    std::map<std::uint64_t, std::set<std::uint32_t>> shards;
};

struct standin_faults
{
    double straggler = 1;
    std::uint32_t warmUpMs = 5000;
    std::uint32_t coldCapacity = 1;
    /// Service times while cold are longer by this factor.
    double coldFactor = 3;
    std::uint32_t collapseMs = 2000;
    std::uint32_t restartMs = 200;
    /// A request whose body holds this text crashes the server; empty for none.
    std::string crashMarker;
    bool draining = false;
    /// Answers nothing.
    bool stalled = false;
    double shedProbability = 0;
    /// Closes the connection before, or after, the request ran.
    std::uint32_t resetBeforeNext = 0;
    std::uint32_t resetAfterNext = 0;
    double resetAfterProbability = 0;
    std::uint32_t lateMs = 0;
    double lateProbability = 0;
    /// Answers with the answer to an earlier request.
    double foreignProbability = 0;
    /// Answers from its newest snapshot and map, whatever was asked for.
    bool answerNewest = false;
    /// Health and load endpoints say healthy and idle.
    bool lie = false;
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
    std::uint32_t mostRunning = 0;
    std::uint32_t mostRunningCold = 0;
    std::uint32_t mostConnections = 0;
    /// Requests received after the mark, and when the last of them came.
    std::uint64_t receivedAfterMark = 0;
    std::int64_t lastAfterMarkMs = -1;
};

struct standin_work
{
    std::optional<std::uint32_t> shard;
    std::string snapshot;
    std::optional<std::uint64_t> mapVersion;
    std::optional<std::int64_t> deadlineMs;
    bool marked = false;
};

enum class work_verdict {
    runs,
    /// Takes the request and never answers it.
    hangs,
    crashes,
    draining,
    shed,
    too_late,
    snapshot_not_held,
    shard_not_here,
    drops_before,
};

struct work_plan
{
    work_verdict verdict = work_verdict::runs;
    double serviceMs = 0;
    double extraMs = 0;
    bool dropAfter = false;
    bool foreign = false;
    std::string snapshot;
    std::uint64_t mapVersion = 0;
};

/// What one backend server does with each request; no I/O.
class backend_server_model
{
public:
    backend_server_model(standin_spec serverSpec, std::uint64_t seed);

    /// A verdict of runs or hangs takes a slot until ended().
    work_plan begin(const standin_work &work, monotonic_time now);
    void ended();
    void restarted(monotonic_time now);
    void turnCold(monotonic_time now);
    void mark(monotonic_time now);
    bool cold(monotonic_time now) const;
    bool collapsed(monotonic_time now) const;
    std::uint32_t running() const;

    standin_spec spec;
    standin_faults faults;
    standin_counts counts;

private:
    void noteArrival(monotonic_time now);
    std::optional<work_verdict> refusal(const standin_work &work);
    work_verdict occupy(monotonic_time now);
    bool chance(double probability);
    double serviceTime(monotonic_time now);

    std::uint32_t m_running = 0;
    monotonic_time m_coldUntil {};
    monotonic_time m_collapsedUntil {};
    std::optional<monotonic_time> m_mark;
    std::mt19937_64 m_random;
};

} // namespace daisystile
