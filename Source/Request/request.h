#pragma once

/// Public header of the request library: admission, fan-out, hedging, merging, the callers' interface.

#include "extra_load_budget.h"
#include "query_decision.h"
#include "query_state.h"
#include "recent_latencies.h"
#include "request_error.h"
#include "result_merge.h"
#include "server_loads.h"
#include "service_index.h"
#include "serving_state.h"
