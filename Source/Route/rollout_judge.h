#pragma once

#include "version_evidence.h"
#include "version_rules.h"

#include <deque>
#include <optional>

namespace daisystile {

/// What is known of a running order at one time.
struct rollout_inputs
{
    rollout_status status;
    milliseconds duration {0};
    /// Time since the order.
    milliseconds elapsed {0};
    /// All counts that daemons have reported for it.
    route_counts counts;
    /// The target has servers that may get requests.
    bool targetServes = false;
    /// Daemons that apply the last stage and run nothing on the base, and all that there are.
    std::size_t settledDaemons = 0;
    std::size_t daemons = 0;
};

/// A new status, and the fault that decided it if there is one.
struct rollout_change
{
    rollout_status status;
    std::optional<version_fault> fault;
};

/// Decides about one order from the counts of the fleet. All daemons that decide get the same ones sooner or later.
class rollout_judge
{
public:
    explicit rollout_judge(double exposureShare);

    /// Nothing if the status stays.
    std::optional<rollout_change> decide(const rollout_inputs &inputs, monotonic_time now);

private:
    struct past_counts
    {
        monotonic_time at;
        route_counts counts;
    };

    std::optional<version_fault> fault(const route_counts &counts, monotonic_time now) const;
    bool mayAdvance(const rollout_inputs &inputs) const;
    bool mayEnd(const rollout_inputs &inputs, monotonic_time now) const;

    double m_exposureShare;
    std::deque<past_counts> m_past;
    // When this daemon first saw the last stage.
    std::optional<monotonic_time> m_allSince;
};

} // namespace daisystile
