#pragma once

#include <Version/version.h>

#include <cstdint>

namespace daisystile {

/// One customer's requests at one daemon, held against the daemon's share of the contract.
struct contract_gate
{
    double tokens = 0;
    monotonic_time filledAt;
    std::uint32_t open = 0;
    /// Requests that asked since the demand was last taken, and the most open at once.
    std::uint32_t asked = 0;
    std::uint32_t mostWanted = 0;
    monotonic_time askedAt;
    monotonic_time demandSince;
    double demand = 0;
};

enum class gate_verdict : std::uint8_t {
    admitted,
    /// The rate or the burst is used up.
    over_rate,
    over_concurrency,
};

/// Lets a request in if the share (millionths of the contract) has room, and counts it.
gate_verdict admit(contract_gate &gate, const contract &terms, std::uint32_t share, monotonic_time now);
/// A request that was let in has ended.
void release(contract_gate &gate);
/// A request asks for the first time.
void noteAsked(contract_gate &gate, std::uint32_t waiting, monotonic_time now);
/// Millionths of the contract that lately would have let all requests in.
std::uint32_t takeDemand(contract_gate &gate, const contract &terms, monotonic_time now);

} // namespace daisystile
