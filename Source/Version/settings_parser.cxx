#include "settings.h"

#include "table_reader.h"

namespace daisystile {

namespace {

constexpr std::size_t minPeerKeyLength = 16;
constexpr number_range leaseRangeMs {100, 60000};
constexpr number_range heartbeatRangeMs {50, 10000};

void readSettings(table_reader &reader, daemon_settings &settings)
{
    reader.name("id", settings.id.value);
    reader.name("failure_domain", settings.domain.value);
    reader.name("region", settings.region.value);
    reader.address("callers", settings.callers);
    reader.address("operators", settings.operators);
    reader.address("traffic", settings.traffic);
    reader.address("control", settings.control);
    reader.address("platform", settings.platform);
    reader.addresses("seeds", settings.seeds);
    reader.text("peer_key", settings.peerKey);
    if (!settings.peerKey.empty() && settings.peerKey.size() < minPeerKeyLength) {
        reader.addError("peer_key", "a key of at least " + std::to_string(minPeerKeyLength) + " characters", std::to_string(settings.peerKey.size()));
    }
    reader.digest("operator_token_digest", settings.operatorTokenDigest);
    reader.choice("hedging",
        settings.hedging,
        {{"none", hedge_policy::none},
            {"fixed_delay", hedge_policy::fixed_delay},
            {"quantile", hedge_policy::quantile},
            {"quantile_with_suppression", hedge_policy::quantile_with_suppression}});
    reader.choice(
        "ownership", settings.ownership, {{"owner_per_server", ownership_policy::owner_per_server}, {"every_daemon", ownership_policy::every_daemon}});
    reader.choice("trials", settings.trials, {{"none", trial_policy::none}, {"new_requests", trial_policy::new_requests}});
    reader.integer("ownership_lease_ms", settings.ownershipLease, leaseRangeMs);
    reader.integer("heartbeat_ms", settings.heartbeat, heartbeatRangeMs);
    reader.boolean("record_trace", settings.recordTrace);
}

} // namespace

settings_reading<daemon_settings> readDaemonSettings(std::string_view text, std::string_view fileName)
{
    return readTable<daemon_settings>(text, fileName, readSettings);
}

parsed<daemon_settings> parseDaemonSettings(std::string_view text, std::string_view fileName)
{
    return withoutMistakes(readDaemonSettings(text, fileName));
}

} // namespace daisystile
