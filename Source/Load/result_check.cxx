#include "result_check.h"

#include <nlohmann/json.hpp>

#include <set>

namespace daisystile {

using nlohmann::json;

// These values must match the simulated backend server.
static constexpr std::uint64_t resultsPerShard = 3;
static constexpr std::uint64_t idModulus = 1'000'000;

static bool isExpectedResult(const std::string &id, std::uint64_t shard, const std::string &seedText)
{
    for (std::uint64_t i = 0; i < resultsPerShard; ++i) {
        const auto hash = stableHash(seedText, shard * resultsPerShard + i);
        if (id == "s" + std::to_string(shard) + "-" + std::to_string(hash % idModulus)) {
            return true;
        }
    }
    return false;
}

void checkResults(const std::string &requestBody, const std::string &answerBody, load_answer &answer)
{
    const auto body = json::parse(answerBody, nullptr, false);
    if (!body.is_object() || !body.contains("results") || !body["results"].is_array()) {
        answer.incoherent = true;
        return;
    }
    const auto seedText = requestBody + '/' + answer.snapshot;
    std::set<std::uint64_t> shards;
    for (const auto &result : body["results"]) {
        const auto id = result.is_object() ? result.value("id", std::string()) : std::string();
        const auto shard = id.size() > 1 ? std::strtoull(id.c_str() + 1, nullptr, 10) : 0;
        shards.insert(shard);
        answer.falseResults += isExpectedResult(id, shard, seedText) ? 0 : 1;
    }
    answer.incoherent |= shards.size() != answer.covered;
}

} // namespace daisystile
