#pragma once

#include "load_plan.h"

#include <map>
#include <string>

namespace daisystile {

/// Outcome of one request from the caller's point of view.
enum class answer_kind {
    /// The response to a query covers all shards.
    complete,
    /// The response to a query doesn't cover all shards.
    partial,
    /// The execute request has run.
    done,
    /// The execute request has not run and will not.
    not_run,
    /// It is unknown whether the execute request has run.
    unknown,
    /// HTTP status 429.
    over_contract,
    /// Another status of 500 or above. The request may have run.
    refused,
    /// Another status below 500.
    client_error,
    /// The client received no complete response within its timeout.
    timed_out,
    /// A transport error other than a timeout, or a response to a query with status 200 but without its coverage.
    failed,
};

static constexpr std::size_t answerKindCount = 10;

const char *toString(answer_kind kind);

struct load_answer
{
    answer_kind kind = answer_kind::failed;
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    /// The covered and missing shards don't add up, or a missing shard is listed twice. If the stream has checkResults set,
    /// also: the response has no list of results, or the results come from more or fewer shards than it reports as covered.
    bool incoherent = false;
    /// Number of results that belong to another query, shard or snapshot; counted only if the stream has checkResults set.
    std::uint64_t falseResults = 0;
    std::string snapshot;
    std::map<std::string, std::uint64_t> missingReasons;
};

/// Classifies a response of the callers' API.
load_answer classifyAnswer(request_kind kind, const http_result &result);

} // namespace daisystile
