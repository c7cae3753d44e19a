#pragma once

#include "load_plan.h"

#include <map>
#include <string>

namespace daisystile {

/// How one request ended, as its caller saw it.
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
    /// Covered shards and listed missing ones don't add up, or one is listed twice.
    bool incoherent = false;
    /// Results that belong to another query, shard or snapshot; counted when the stream says so.
    std::uint64_t falseResults = 0;
    std::string snapshot;
    std::map<std::string, std::uint64_t> missingReasons;
};

/// Reads an answer of the callers' interface.
load_answer classify(request_kind kind, const http_result &result);

} // namespace daisystile
