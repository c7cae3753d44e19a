#include "query_state.h"

#include <algorithm>

namespace daisystile {

attempt_state *attemptByNumber(shard_state &shard, attempt_number number)
{
    const auto end = shard.attempts.begin() + shard.attemptCount;
    const auto found = std::find_if(shard.attempts.begin(), end, [number](const attempt_state &attempt) { return attempt.number == number; });
    return found == end ? nullptr : &*found;
}

attempt_state *findOpenAttempt(query_state &state, shard_index shard, attempt_number number)
{
    if (shard.value >= state.shards.size()) {
        return nullptr;
    }
    auto *attempt = attemptByNumber(state.shards[shard.value], number);
    return attempt != nullptr && attempt->open ? attempt : nullptr;
}

void voteForSnapshot(query_state &state, shard_state &shard, const snapshot_id &held)
{
    if (shard.snapshotMissed || held.value.empty() || held == state.snapshot) {
        return;
    }
    shard.snapshotMissed = true;
    const auto found = std::find_if(state.votes.begin(), state.votes.end(), [&held](const snapshot_vote &entry) { return entry.snapshot == held; });
    if (found == state.votes.end()) {
        state.votes.push_back({held, 1});
    } else {
        found->shards += 1;
    }
}

const snapshot_vote *mostReportedSnapshot(const query_state &state)
{
    const auto found = std::max_element(state.votes.begin(), state.votes.end(), [](const auto &a, const auto &b) { return a.shards < b.shards; });
    return found == state.votes.end() ? nullptr : &*found;
}

query_outcome outcomeOf(const query_state &state)
{
    if (state.quarantined) {
        return query_outcome::quarantined;
    }
    if (state.answered == state.shards.size()) {
        return query_outcome::complete;
    }
    const auto covered = static_cast<double>(state.answered) / static_cast<double>(state.shards.size());
    return covered < state.minCoverage ? query_outcome::too_little_coverage : query_outcome::partial;
}

std::string mergeResults(const query_state &state)
{
    std::size_t size = 2;
    for (const auto &shard : state.shards) {
        size += shard.results.end - shard.results.begin + 1;
    }
    std::string array;
    array.reserve(size);
    array += '[';
    for (const auto &shard : state.shards) {
        if (shard.answered) {
            appendResults(array, shard.body, shard.results);
        }
    }
    array += ']';
    return array;
}

attempt_failure missingReason(const shard_state &shard)
{
    return shard.exhausted ? shard.lastFailure : attempt_failure::timed_out;
}

} // namespace daisystile
