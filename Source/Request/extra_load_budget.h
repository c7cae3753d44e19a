#pragma once

#include <cstddef>

namespace daisystile {

/// Allows second attempts, hedges and retries together, as a share of first attempts.
class extra_load_budget
{
public:
    /// First attempts add their share.
    void firstAttempts(std::size_t count, double share);
    /// For retries. False, and nothing taken, when the budget holds less.
    bool take(std::size_t count = 1);
    /// For one hedge; leaves a reserve, as a retry may save a shard's coverage and a hedge only its time.
    bool takeForHedge();
    double available() const;

private:
    double m_available = 0;
};

} // namespace daisystile
