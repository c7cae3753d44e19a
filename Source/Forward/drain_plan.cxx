#include "drain_plan.h"

namespace daisystile {

namespace {

// The load balancer probes every second and removes a daemon after two failures; connections already under way still arrive.
constexpr milliseconds balancerDelay {3000};
constexpr milliseconds exitMargin {250};

} // namespace

drain_step drainStep(const drain_progress &progress)
{
    const auto latest = progress.grace - exitMargin;
    if (progress.passed >= latest) {
        return drain_step::exit;
    }
    if (progress.reachable && progress.passed < balancerDelay && balancerDelay < latest) {
        return drain_step::serve;
    }
    return progress.busyConnections == 0 ? drain_step::exit : drain_step::finish;
}

} // namespace daisystile
