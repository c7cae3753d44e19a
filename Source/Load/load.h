#pragma once

/// Public header of the load library: open-loop load and its figures.

#include "load_plan.h"
#include "load_report.h"
#include "load_run.h"
