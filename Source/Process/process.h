#pragma once

/// Public header of the process library: event loop, networking, HTTP, JSON text, logging, metrics and basic types.

#include "clock.h"
#include "descriptors.h"
#include "hash.h"
#include "http_client.h"
#include "http_message.h"
#include "http_server.h"
#include "ids.h"
#include "ip_address.h"
#include "json_text.h"
#include "latency_histogram.h"
#include "log.h"
#include "metrics.h"
#include "poll_clock.h"
#include "process_error.h"
#include "reactor.h"
#include "recent_latencies.h"
#include "secret.h"
#include "tcp_stream.h"
#include "termination_signals.h"
