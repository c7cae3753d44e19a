#pragma once

#include "config_error.h"

#include <Process/process.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// Queueing priority of a customer's requests; lower values are served first.
enum class urgency : std::uint8_t {
    interactive,
    normal,
    background,
};

/// Service-level objective of a customer, from which the burn report computes the error budget burn.
struct service_objective
{
    milliseconds latency {200};
    /// Share of answers that must arrive within the latency.
    double latencyShare = 0.99;
    /// Share of shards that must be covered, counted over all answers together.
    double coverage = 0.999;
};

/// The contract of one customer, as accepted by the platform.
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
    /// Longest time that a caller waits for an answer.
    milliseconds maxWait {1000};
    /// Smallest share of covered shards with which a partial answer is sent.
    double minCoverage = 0;
    /// Limit on hedges and retries together, as a share of first attempts.
    double extraLoadShare = 0.05;
    /// How long results of execute requests are retained to answer resends.
    seconds resultRetention {3600};
    service_objective objective;
};

/// Parses a contract written by an operator. The version is not part of the text.
parsed<contract> parseContract(std::string_view text, std::string_view fileName);

} // namespace daisystile
