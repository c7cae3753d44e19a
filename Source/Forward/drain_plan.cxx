#include "drain_plan.h"

namespace daisystile {

namespace {

// The balancer asks each second and lets go after two refusals; connections on their way still arrive.
constexpr milliseconds balancerDelay {3000};
constexpr milliseconds exitMargin {250};

} // namespace

drain_step drainStep(const drain_progress &progress)
{
    const auto latest = progress.grace - exitMargin;
    if (progress.passed >= latest) {
        return drain_step::exit;
    }
    if (progress.passed < balancerDelay && balancerDelay < latest) {
        return drain_step::serve;
    }
    return progress.busyConnections == 0 ? drain_step::exit : drain_step::finish;
}

} // namespace daisystile
