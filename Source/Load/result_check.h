#pragma once

#include "load_answer.h"

namespace daisystile {

/// Checks each result of a query response against the results that the simulated backend server returns for this query,
/// shard and the response's snapshot. Counts results of another query, shard or snapshot, and marks the answer as
/// incoherent if its results don't come from as many shards as it reports as covered.
void checkResults(const std::string &requestBody, const std::string &answerBody, load_answer &answer);

} // namespace daisystile
