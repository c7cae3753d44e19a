#pragma once

#include <Process/process.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

enum class request_kind {
    query,
    execute,
};

/// Requests of one customer to one service, sent at a fixed mean rate that doesn't depend on the responses.
struct load_stream
{
    std::string name;
    std::string token;
    service_name service;
    request_kind kind = request_kind::query;
    double ratePerSecond = 0;
    /// JSON; the first "{n}" is replaced by the request's number.
    std::string body;
    /// Number of distinct request numbers before they repeat; 0 if they never repeat.
    std::uint64_t distinct = 0;
    /// Share of requests (0 to 1) that repeat the number, and so the idempotency key, of an earlier request.
    double resendShare = 0;
    microseconds from {0};
    microseconds to {0};
    /// Indexes into the plan's targets; empty for all.
    std::vector<std::size_t> targets;
    milliseconds timeout {2000};
    /// Compares every result with the one expected from the simulated backend servers.
    bool checkResults = false;
};

/// An HTTP call to the control interface of a daemon or simulated backend server at a given time of the run.
struct control_step
{
    microseconds at {0};
    std::string method = "POST";
    ip_address address;
    std::string path;
    std::vector<http_header> headers;
    std::string body;
};

/// A time span with separate statistics, selected by scheduled arrival.
struct load_phase
{
    std::string name;
    microseconds from {0};
    microseconds to {0};
};

struct load_plan
{
    std::uint64_t seed = 1;
    unsigned threads = 1;
    microseconds duration {0};
    /// Length of the intervals of the time series in the report; 0 for none.
    microseconds interval {0};
    long connectionsPerTarget = 256;
    /// Prefix that makes idempotency keys unique to a run.
    std::string keyPrefix = "load";
    std::vector<ip_address> targets;
    std::vector<load_stream> streams;
    std::vector<control_step> steps;
    std::vector<load_phase> phases;
    /// Control addresses of the simulated backend servers whose records are compared with the responses.
    std::vector<ip_address> records;
};

/// All errors in a plan, each with the path of its field.
struct load_plan_error
{
    std::vector<std::string> errors;
};

/// Parses a plan in JSON; times are in seconds. Errors: load_plan_error.
leaf::result<load_plan> parseLoadPlan(std::string_view text);

} // namespace daisystile
