#pragma once

#include "load_plan.h"

#include <map>
#include <string>

namespace daisystile {

/// Outcome of one request from the caller's point of view.
enum class answer_kind {
    complete,
    partial,
    done,
    not_run,
    unknown,
    over_contract,
    refused,
    client_error,
    timed_out,
    failed,
};

static constexpr std::size_t answerKindCount = 10;

const char *toString(answer_kind kind);

struct load_answer
{
    answer_kind kind = answer_kind::failed;
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    /// The covered and missing shards don't add up, or a missing shard is listed twice.
    bool incoherent = false;
    /// Number of results that belong to another query, shard or snapshot; counted only if the stream has checkResults set.
    std::uint64_t falseResults = 0;
    std::string snapshot;
    std::map<std::string, std::uint64_t> missingReasons;
};

/// Classifies a response of the callers' API.
load_answer classifyAnswer(request_kind kind, const http_result &result);

} // namespace daisystile
