#pragma once

#include "Request/request.h"

#include <algorithm>

namespace daisystile {

inline constexpr monotonic_time testStart {seconds {1000}};

/// A sharded service with replicas named s<shard>-<replica> and one query on it.
struct query_fixture
{
    explicit query_fixture(std::uint32_t shards = 4, std::uint32_t replicas = 3)
    {
        updateCatalogue(serving, makeService(shards, replicas, "snap-1", 1));
        plan.query = {{"a"}, {7}, {1}};
        plan.startedAt = testStart;
        plan.callerDeadline = testStart + seconds {1};
        plan.minCoverage = 0.5;
        plan.extraLoadShare = 0.05;
    }

    static std::shared_ptr<const service> makeService(std::uint32_t shards, std::uint32_t replicas, const std::string &snapshot, std::uint64_t map)
    {
        auto entry = std::make_shared<service>();
        entry->name = {"marshal-desk"};
        entry->snapshot = {snapshot};
        entry->mapVersion = {map};
        entry->shards.resize(shards);
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            for (std::uint32_t replica = 0; replica < replicas; ++replica) {
                const backend_server_id id {"s" + std::to_string(shard) + "-" + std::to_string(replica)};
                entry->servers.push_back({.id = id});
                entry->shards[shard].replicas.push_back(id);
            }
        }
        return entry;
    }

    /// Applies one event and returns the resulting actions.
    query_actions run(query_event event, milliseconds at)
    {
        query_actions actions;
        decide(state, serving, budget, std::move(event), testStart + at, actions);
        return actions;
    }

    query_actions start()
    {
        state = makeQuery(plan, serving);
        return run(query_started {}, milliseconds {0});
    }

    /// Returns a valid answer to the newest attempt, or to the given one.
    shard_answer answerOf(std::uint32_t shard, std::size_t attempt = maxAttemptsPerShard) const
    {
        const auto &entry = state.shards[shard];
        const auto &sent = entry.attempts[std::min<std::size_t>(attempt, entry.attemptCount - 1U)];
        shard_answer answer;
        answer.query = state.query;
        answer.shard = {shard};
        answer.attempt = sent.number;
        answer.server = serving.loads.idOf(sent.server);
        answer.outcome = run_outcome::done;
        answer.snapshot = state.snapshot;
        answer.mapVersion = state.index->catalogue->mapVersion;
        answer.body = R"({"results":[)" + std::to_string(shard) + "]}";
        return answer;
    }

    shard_answer failureOf(std::uint32_t shard, attempt_failure failure, const std::string &held = {}) const
    {
        auto answer = answerOf(shard);
        answer.outcome = failure == attempt_failure::server_lost ? run_outcome::unknown : run_outcome::not_run;
        answer.failure = failure;
        answer.snapshot = {held};
        answer.body.clear();
        return answer;
    }

    serving_state serving;
    extra_load_budget budget;
    query_plan plan;
    query_state state;
};

template<class Action> std::vector<Action> actionsOf(const query_actions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

inline std::optional<query_outcome> outcomeOf(const query_actions &actions)
{
    const auto answers = actionsOf<answer_caller>(actions);
    return answers.empty() ? std::nullopt : std::optional(answers.front().outcome);
}

} // namespace daisystile
