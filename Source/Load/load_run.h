#pragma once

#include "load_report.h"

namespace daisystile {

/// Runs a plan on its threads; returns when every request and control step has ended.
load_report runLoad(const load_plan &plan);

} // namespace daisystile
