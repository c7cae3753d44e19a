#pragma once

#include <Version/version.h>

#include <cstdint>

namespace daisystile {

/// Token bucket and concurrency limit for one customer at one daemon, scaled to the daemon's share of the contract.
struct contract_gate
{
    double tokens = 0;
    monotonic_time refilledAt;
    std::uint32_t openRequests = 0;
    /// Requests that arrived since the demand was last measured, and the peak number of open and waiting requests in
    /// that time.
    std::uint32_t arrivals = 0;
    std::uint32_t peakConcurrency = 0;
    monotonic_time lastArrivalAt;
    monotonic_time demandMeasuredAt;
    double demand = 0;
};

enum class gate_verdict : std::uint8_t {
    admitted,
    /// The rate and the burst are used up.
    over_rate,
    over_concurrency,
};

/// Admits and counts a request if the share (in millionths of the contract) allows it.
gate_verdict admit(contract_gate &gate, const contract &terms, std::uint32_t share, monotonic_time now);
/// Records the end of an admitted request.
void release(contract_gate &gate);
/// Records the arrival of a request; held requests are recorded once.
void recordArrival(contract_gate &gate, std::uint32_t waiting, monotonic_time now);
/// Returns the share in millionths of the contract that would have admitted all recent requests, and starts a new
/// measurement interval.
std::uint32_t takeDemand(contract_gate &gate, const contract &terms, monotonic_time now);

} // namespace daisystile
