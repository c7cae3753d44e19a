#pragma once

#include "load_report.h"

namespace daisystile {

/// Runs a plan on its threads; returns after all requests and control steps have finished.
load_report runLoad(const load_plan &plan);

} // namespace daisystile
