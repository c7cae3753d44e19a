#pragma once

#include "arrival_schedule.h"
#include "load_answer.h"

#include <array>
#include <map>
#include <vector>

namespace daisystile {

/// What the answers of one stream within one span of arrivals add up to.
struct stream_figures
{
    /// From the scheduled arrival to the answer; complete, partial and done answers only.
    latency_histogram latency;
    /// From the scheduled arrival to the answer, whatever it was.
    latency_histogram latencyOfAll;
    /// From the scheduled arrival to the sending; large when this tool is the bottleneck.
    latency_histogram sendLag;
    std::array<std::uint64_t, answerKindCount> kinds {};
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    std::uint64_t incoherent = 0;
    std::uint64_t falseResults = 0;
    std::map<std::string, std::uint64_t> missingReasons;

    std::uint64_t count() const;
    void merge(const stream_figures &other);
};

/// What callers were told of one idempotency key.
struct key_outcomes
{
    std::uint32_t sent = 0;
    std::uint32_t done = 0;
    std::uint32_t notRun = 0;
};

/// All that one thread of a load run saw.
struct load_figures
{
    explicit load_figures(const load_plan &plan);

    void take(const load_plan &plan, const arrival &request, const std::string &key, microseconds sentAt, microseconds answeredAt, const load_answer &answer);
    void merge(const load_figures &other);

    /// By phase, then by stream.
    std::vector<std::vector<stream_figures>> phases;
    /// By interval, then by stream.
    std::vector<std::vector<stream_figures>> intervals;
    std::map<std::string, key_outcomes> keys;
};

/// Runs of each idempotency key and requests received, as the backend servers recorded them.
struct backend_records
{
    std::map<std::string, std::uint64_t> runsByKey;
    std::map<std::string, std::uint64_t> receivedByServer;
};

/// Where callers' answers and servers' records disagree.
struct execute_verdict
{
    std::uint64_t keys = 0;
    std::uint64_t done = 0;
    /// Keys that ran more than once.
    std::uint64_t duplicates = 0;
    /// Keys whose every answer was not_run, yet a server ran them.
    std::uint64_t falseNotRun = 0;
    /// Keys reported done that no server ran.
    std::uint64_t falseDone = 0;
};

execute_verdict judgeExecutes(const std::map<std::string, key_outcomes> &keys, const std::map<std::string, std::uint64_t> &runsByKey);

} // namespace daisystile
