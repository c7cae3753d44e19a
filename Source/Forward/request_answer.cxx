#include "request_answer.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr int statusTimeout = 408;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

// These statuses would tell the client that the request has not run.
bool impliesNotRun(int status)
{
    return status == statusUnavailable || status == statusTooManyRequests || status == statusTimeout;
}

} // namespace

void acceptAnswer(running_request &request, part_index index, exchange_answer &exchange)
{
    const auto verdict = exchange.answer.verdict;
    if (std::holds_alternative<shards_target>(request.matchedRoute->target)) {
        auto &part = request.parts[index];
        if (verdict == answer_verdict::success && part.signature.value.empty()) {
            part.signature = exchange.answer.signature;
            part.body = std::move(exchange.message.body);
        }
        return;
    }
    const bool relayable = verdict == answer_verdict::success || verdict == answer_verdict::failure;
    if (relayable && !(impliesNotRun(exchange.message.status) && verdict == answer_verdict::failure)) {
        request.answer = std::move(exchange.message);
    }
}

// Records of shards that were not asked for would be merged twice.
void acceptDelegated(running_request &request, const std::vector<part_index> &parts, query_answer answer)
{
    const auto asked = [&](std::size_t shard) {
        return std::binary_search(parts.begin(), parts.end(), shard);
    };
    if (!std::all_of(answer.shards.begin(), answer.shards.end(), asked) || answer.shards.size() != answer.signatures.size()) {
        DAISYSTILE_LOG(ERROR, "delegation") << "The answer has other shards than were asked for." << field("request", request.head.id.value);
        return;
    }
    for (std::size_t i = 0; i < answer.shards.size(); ++i) {
        request.parts[answer.shards[i]].signature = std::move(answer.signatures[i]);
    }
    request.delegatedRecords.push_back(std::move(answer.records));
}

query_answer mergedAnswer(const running_request &request, const shards_target &target)
{
    query_answer answer;
    std::vector<std::string_view> bodies;
    for (const auto &part : request.parts) {
        if (!part.signature.value.empty()) {
            answer.shards.push_back(part.shard);
            answer.signatures.push_back(part.signature);
            bodies.emplace_back(part.body);
        }
    }
    bodies.insert(bodies.end(), request.delegatedRecords.begin(), request.delegatedRecords.end());
    answer.missingParts = request.parts.size() - answer.signatures.size();
    answer.records = greatestRecords(bodies, target.topRecords);
    return answer;
}

} // namespace daisystile
