#pragma once

#include "load_answer.h"

namespace daisystile {

/// Checks each result of a query's answer against what the backend server stand-in gives for this query, shard and
/// the answer's snapshot: counts results that belong to another query, shard or snapshot, and marks the answer
/// incoherent when its results don't come from as many shards as it claims.
void checkResults(const std::string &requestBody, const std::string &answerBody, load_answer &answer);

} // namespace daisystile
