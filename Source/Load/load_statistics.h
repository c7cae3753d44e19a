#pragma once

#include "arrival_schedule.h"
#include "load_answer.h"

#include <array>
#include <map>
#include <vector>

namespace daisystile {

/// Statistics of the requests of one stream that were scheduled within one time span.
struct stream_statistics
{
    /// Time from the scheduled arrival to the response, for the outcomes complete, partial and done only.
    latency_histogram latency;
    /// Time from the scheduled arrival to the response, for all outcomes.
    latency_histogram latencyOfAll;
    /// Time from the scheduled arrival to the sending; large if the load generator is the bottleneck.
    latency_histogram sendLag;
    std::array<std::uint64_t, answerKindCount> kinds {};
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    std::uint64_t incoherent = 0;
    std::uint64_t falseResults = 0;
    std::map<std::string, std::uint64_t> missingReasons;

    std::uint64_t count() const;
    void merge(const stream_statistics &other);
};

/// Number of requests sent with one idempotency key and the outcomes reported to the callers.
struct key_outcomes
{
    std::uint32_t sent = 0;
    std::uint32_t done = 0;
    std::uint32_t notRun = 0;
};

/// Statistics collected by one thread of a load run.
struct load_statistics
{
    explicit load_statistics(const load_plan &plan);

    void
    addAnswer(const load_plan &plan, const arrival &request, const std::string &key, microseconds sentAt, microseconds answeredAt, const load_answer &answer);
    void merge(const load_statistics &other);

    /// Indexed by phase, then by stream.
    std::vector<std::vector<stream_statistics>> phases;
    /// Indexed by interval, then by stream.
    std::vector<std::vector<stream_statistics>> intervals;
    std::map<std::string, key_outcomes> keys;
};

/// Executions per idempotency key and received requests per server, as recorded by the backend servers.
struct backend_records
{
    std::map<std::string, std::uint64_t> runsByKey;
    std::map<std::string, std::uint64_t> receivedByServer;
};

/// Discrepancies between the outcomes reported to callers and the backend servers' records.
struct execute_check
{
    std::uint64_t keys = 0;
    std::uint64_t done = 0;
    /// Keys that were executed more than once.
    std::uint64_t duplicates = 0;
    /// Keys that were executed although every response reported not_run.
    std::uint64_t falseNotRun = 0;
    /// Keys reported as done that no server executed.
    std::uint64_t falseDone = 0;
};

execute_check checkExecutes(const std::map<std::string, key_outcomes> &keys, const std::map<std::string, std::uint64_t> &runsByKey);

} // namespace daisystile
