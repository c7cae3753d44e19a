#include "contract.h"

#include "table_reader.h"

namespace daisystile {

namespace {

constexpr number_range rateRange {0.001, 10000000};
constexpr number_range burstRange {1, 10000000};
constexpr number_range concurrencyRange {1, 1000000};
constexpr number_range waitRangeMs {1, 600000};
constexpr number_range shareRange {0, 1};
constexpr number_range retentionRangeS {1, 604800};

void readObjective(table_reader &reader, service_objective &objective)
{
    reader.integer("latency_ms", objective.latency, waitRangeMs);
    reader.number("latency_share", objective.latencyShare, shareRange);
    reader.number("coverage", objective.coverage, shareRange);
}

void readContract(table_reader &reader, contract &target)
{
    reader.name("customer", target.customer.value);
    reader.digests("token_digests", target.tokenDigests);
    std::vector<std::string> services;
    reader.names("services", services);
    for (auto &name : services) {
        target.services.push_back({std::move(name)});
    }
    reader.choice(
        "urgency", target.rank, {{"interactive", urgency::interactive}, {"normal", urgency::normal}, {"background", urgency::background}}, presence::required);
    reader.number("rate_per_second", target.ratePerSecond, rateRange, presence::required);
    reader.number("burst", target.burst, burstRange, presence::required);
    reader.integer("concurrency", target.concurrency, concurrencyRange, presence::required);
    reader.integer("wait_ms", target.maxWait, waitRangeMs, presence::required);
    reader.number("least_coverage", target.minCoverage, shareRange);
    reader.number("extra_load_share", target.extraLoadShare, shareRange);
    reader.integer("result_retention_s", target.resultRetention, retentionRangeS);
    reader.table("objective", [&](table_reader &table) { readObjective(table, target.objective); });
}

} // namespace

parsed<contract> parseContract(std::string_view text, std::string_view fileName)
{
    return parseTable<contract>(text, fileName, readContract);
}

} // namespace daisystile
