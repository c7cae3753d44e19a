#pragma once

#include <cstddef>

namespace daisystile {

struct extra_load_limits
{
    /// Unused budget above this is lost, so that a long calm can't pay for a flood of retries.
    double largest = 50;
    /// What hedges leave for retries.
    double hedgeReserve = 20;
};

/// Allows second attempts, hedges and retries together, as a share of first attempts.
class extra_load_budget
{
public:
    explicit extra_load_budget(extra_load_limits limits = {}, double available = 0);

    /// First attempts add their share.
    void firstAttempts(std::size_t count, double share);
    /// For retries. False, and nothing taken, when the budget holds less.
    bool take(std::size_t count = 1);
    /// For one hedge; leaves a reserve, as a retry may save a shard's coverage and a hedge only its time.
    bool takeForHedge();
    double available() const;
    /// Puts other limits in force; what is above the new largest budget is lost.
    void setLimits(extra_load_limits limits);

private:
    extra_load_limits m_limits;
    double m_available;
};

} // namespace daisystile
