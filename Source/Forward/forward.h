#pragma once

/// Public header of the forward library: the plain HTTP front end, its connections to backend servers, and its view of the store.

#include "client_server.h"
#include "delegation_server.h"
#include "drain_plan.h"
#include "entry_process.h"
#include "entry_settings.h"
#include "fleet_registry.h"
#include "forwarder.h"
#include "object_mirror.h"
#include "routing_snapshot.h"
#include "server_end_check.h"
#include "store_follower.h"
#include "suspect_board.h"
#include "suspect_guard.h"
