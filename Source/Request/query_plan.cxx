#include "query_decision.h"

#include <algorithm>

namespace daisystile {

// Time for merging and sending, taken off the caller's wait.
static constexpr milliseconds longestAnswerMargin {10};
static constexpr int answerMarginDivisor = 10;

query_state makeQuery(const query_plan &plan, const serving_state &serving)
{
    query_state state;
    state.query = plan.query;
    state.index = serving.index;
    state.snapshot = newestSnapshot(serving);
    state.startedAt = plan.startedAt;
    const auto margin = std::min(longestAnswerMargin, timeLeft(plan.startedAt, plan.waitEnds) / answerMarginDivisor);
    state.answerBy = plan.waitEnds - margin;
    state.leastCoverage = plan.leastCoverage;
    state.extraLoadShare = plan.extraLoadShare;
    state.canary = plan.canary;
    state.shards.resize(state.index->replicas.size());
    state.pending = static_cast<std::uint32_t>(state.shards.size());
    return state;
}

} // namespace daisystile
