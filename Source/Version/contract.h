#pragma once

#include "config_mistake.h"

#include <Process/process.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// How a customer's requests rank against others in a queue; lower values go first.
enum class urgency : std::uint8_t {
    interactive,
    normal,
    background,
};

/// What the burn report holds a customer's service against.
struct service_objective
{
    milliseconds latency {200};
    /// Share of answers that must be within the latency.
    double latencyShare = 0.99;
    /// Share of shards that answers must cover, taken over all answers.
    double coverage = 0.999;
};

/// One customer's terms, as accepted by the platform.
struct contract
{
    customer_id customer;
    config_version version;
    /// SHA-256 digests, lower-case hexadecimal.
    std::vector<std::string> tokenDigests;
    std::vector<service_name> services;
    urgency rank = urgency::normal;
    double ratePerSecond = 0;
    double burst = 0;
    std::uint32_t concurrency = 0;
    /// The longest that a caller waits for an answer.
    milliseconds wait {1000};
    /// Least share of shards that makes an answer worth sending.
    double leastCoverage = 0;
    /// Hedges and retries together, as a share of first attempts.
    double extraLoadShare = 0.05;
    /// How long results of execute requests are kept for resends.
    seconds resultRetention {3600};
    service_objective objective;
};

/// Reads a contract as operators write it; the version is not part of the text.
parsed<contract> parseContract(std::string_view text, std::string_view fileName);

} // namespace daisystile
