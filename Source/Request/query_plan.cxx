#include "query_decision.h"

#include <algorithm>

namespace daisystile {

// Time reserved for merging and sending the answer before the caller's deadline.
static constexpr milliseconds maxAnswerMargin {10};
static constexpr int answerMarginDivisor = 10;

query_state makeQuery(const query_plan &plan, const serving_state &serving)
{
    query_state state;
    state.query = plan.query;
    state.index = serving.index;
    state.snapshot = newestSnapshot(serving);
    state.startedAt = plan.startedAt;
    const auto margin = std::min(maxAnswerMargin, timeLeft(plan.startedAt, plan.callerDeadline) / answerMarginDivisor);
    state.answerDeadline = plan.callerDeadline - margin;
    state.minCoverage = plan.minCoverage;
    state.extraLoadShare = plan.extraLoadShare;
    state.canary = plan.canary;
    state.shards.resize(state.index->replicas.size());
    state.pending = static_cast<std::uint32_t>(state.shards.size());
    return state;
}

} // namespace daisystile
