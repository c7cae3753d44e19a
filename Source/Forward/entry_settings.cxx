#include "entry_settings.h"

#include <Version/table_reader.h>

namespace daisystile {

namespace {

constexpr number_range ratioRange {0, 10};
constexpr number_range shareRange {0, 1};
constexpr number_range memoryRangeMb {1, 1e6};
constexpr number_range strengthRange {minStrength, maxStrength};
constexpr number_range slackRange {0, 1e6};
constexpr number_range graceRangeMs {100, 600000};
constexpr number_range windowRangeMs {1000, 600000};

void readBounds(table_reader &reader, fleet_bounds &bounds)
{
    reader.number("retry_ratio", bounds.retryRatio, ratioRange);
    reader.number("retry_slack", bounds.retrySlack, slackRange);
    reader.duration("retry_window_s", "retry_window_ms", bounds.retryWindow, windowRangeMs);
    reader.number("cold_factor", bounds.coldFactor, ratioRange);
    reader.number("cold_slack", bounds.coldSlack, slackRange);
    reader.number("exposure_share", bounds.exposureShare, shareRange);
    reader.number("exposure_slack", bounds.exposureSlack, slackRange);
    reader.integer("rollback_ms", bounds.rollbackTime, windowRangeMs);
    reader.boolean("strict_revocation", bounds.strictRevocation);
    reader.integer("revocation_ms", bounds.revocationTime, windowRangeMs);
    reader.duration("quota_window_s", "quota_window_ms", bounds.quotaWindow, windowRangeMs);
    reader.number("quota_overage", bounds.quotaOverage, ratioRange);
    reader.number("quota_slack", bounds.quotaSlack, slackRange);
    reader.integer("configuration_ms", bounds.configurationTime, windowRangeMs);
}

void readMemory(table_reader &reader, const char *key, std::uint64_t &bytes)
{
    std::uint32_t megabytes = 0;
    reader.integer(key, megabytes, memoryRangeMb);
    constexpr std::uint64_t bytesPerMegabyte = 1U << 20U;
    bytes = megabytes * bytesPerMegabyte;
}

void readSettings(table_reader &reader, entry_settings &settings)
{
    reader.daemonName("id", settings.id.value);
    reader.text("failure_domain", settings.domain.value, presence::expected);
    reader.text("region", settings.region.value, presence::expected);
    reader.address("clients", settings.clients);
    reader.address("readiness", settings.readiness);
    reader.address("peers", settings.peers, presence::expected);
    reader.address("queries", settings.queries, presence::optional);
    reader.number("strength", settings.strength, strengthRange);
    readMemory(reader, "memory_mb", settings.memoryBytes);
    readMemory(reader, "client_memory_mb", settings.clientMemoryBytes);
    reader.boolean("bootstrap", settings.bootstrap);
    reader.address("store", settings.store);
    reader.duration("grace_s", "grace_ms", settings.grace, graceRangeMs);
    reader.integer("lapse_grace_ms", settings.lapseGrace, graceRangeMs);
    reader.integer("stale_check_ms", settings.staleCheck, graceRangeMs);
    reader.integer("fresh_check_ms", settings.freshCheck, graceRangeMs);
    reader.integer("reach_check_ms", settings.reachCheck, graceRangeMs);
    reader.text("operator_token_sha256", settings.operatorTokenDigest, presence::optional);
    reader.table("bounds", [&](table_reader &bounds) { readBounds(bounds, settings.bounds); });
}

} // namespace

configuration_age configurationAge(const fleet_bounds &bounds, std::optional<monotonic_time> newestAt)
{
    // Clocks of daemons and of the store don't run at quite the same rate.
    constexpr milliseconds clockMargin {100};
    configuration_age age {.newestAt = newestAt, .maxForUnknownKeys = bounds.configurationTime};
    if (bounds.strictRevocation) {
        age.maxForKeys = bounds.revocationTime - clockMargin;
    }
    return age;
}

// The rest is for the program, what it knows of the fleet, and gaps that the allocator leaves.
std::size_t clientMemoryBudget(const entry_settings &settings)
{
    constexpr std::uint64_t numerator = 3;
    constexpr std::uint64_t denominator = 8;
    return settings.clientMemoryBytes != 0 ? settings.clientMemoryBytes : settings.memoryBytes * numerator / denominator;
}

settings_reading<entry_settings> readEntrySettings(std::string_view text, std::string_view fileName)
{
    return readTable<entry_settings>(text, fileName, readSettings);
}

parsed<entry_settings> parseEntrySettings(std::string_view text, std::string_view fileName)
{
    return withoutMistakes(readEntrySettings(text, fileName));
}

} // namespace daisystile
