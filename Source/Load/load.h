#pragma once

/// Public header of the load library: open-loop load generation and its statistics.

#include "load_plan.h"
#include "load_report.h"
#include "load_run.h"
