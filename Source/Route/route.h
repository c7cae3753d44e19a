#pragma once

/// Public header of the route library: routes, backend servers, and the pure decisions on where and when a request is sent.

#include "extra_load_window.h"
#include "forward_decision.h"
#include "record_merge.h"
#include "replica_choice.h"
#include "replica_record.h"
#include "route_pace.h"
#include "routing.h"
#include "server_entry.h"
#include "work_queue.h"
