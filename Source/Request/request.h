#pragma once

/// Public header of the request library: admission, fan-out, hedging, merging, the callers' interface.

#include "burn_html.h"
#include "burn_json.h"
#include "burn_recorder.h"
#include "burn_report.h"
#include "burn_service.h"
#include "burn_text.h"
#include "callers_api.h"
#include "callers_json.h"
#include "coordinator.h"
#include "extra_load_budget.h"
#include "query_decision.h"
#include "query_state.h"
#include "recent_latencies.h"
#include "request_error.h"
#include "result_merge.h"
#include "search_types.h"
#include "server_loads.h"
#include "service_index.h"
#include "serving_state.h"
#include "serving_table.h"
