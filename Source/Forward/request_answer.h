#pragma once

#include "running_request.h"

namespace daisystile {

/// Takes a backend server's answer to a part, if it may be relayed or merged.
void acceptAnswer(running_request &request, part_index part, exchange_answer &exchange);

/// Takes the answers that another daemon has collected for these parts, which must be sorted. Ignores an answer for others.
void acceptDelegated(running_request &request, const std::vector<part_index> &parts, query_answer answer);

/// The merged answer of the parts that were answered.
query_answer mergedAnswer(const running_request &request, const shards_target &target);

} // namespace daisystile
