#pragma once

#include <cstddef>

namespace daisystile {

/// Token budget shared by hedges and retries, refilled in proportion to the first attempts.
class extra_load_budget
{
public:
    /// Adds the share of the given number of first attempts.
    void addFirstAttempts(std::size_t count, double share);
    /// Takes tokens for retries. Returns false and takes nothing if the budget is insufficient.
    bool take(std::size_t count = 1);
    /// Takes a token for one hedge. Keeps a reserve for retries: a retry can save a shard's coverage, a hedge only
    /// reduces its latency.
    bool takeForHedge();
    double available() const;

private:
    double m_available = 0;
};

} // namespace daisystile
