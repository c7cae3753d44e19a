#pragma once

/// Public header of the route library: routes, backend servers, and side-effect-free decisions on where and when a request is sent.

#include "client_account.h"
#include "crash_suspects.h"
#include "delegate_health.h"
#include "evacuation_gate.h"
#include "forward_decision.h"
#include "query_coordinators.h"
#include "record_merge.h"
#include "replica_choice.h"
#include "replica_stats.h"
#include "request_digest.h"
#include "retry_after.h"
#include "retry_budget.h"
#include "route_latency.h"
#include "routing.h"
#include "server_availability.h"
#include "server_entry.h"
#include "server_limit.h"
#include "urgency_rank.h"
#include "work_queue.h"
