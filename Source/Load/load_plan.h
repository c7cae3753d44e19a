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

/// Requests of one customer to one service, arriving at a fixed mean rate whatever the answers.
struct load_stream
{
    std::string name;
    std::string token;
    service_name service;
    request_kind kind = request_kind::query;
    double ratePerSecond = 0;
    /// JSON; "{n}" in it becomes the request's number.
    std::string body;
    /// Numbers repeat after so many; 0 never repeats them.
    std::uint64_t distinct = 0;
    /// Share of execute requests that send an earlier key again.
    double resendShare = 0;
    microseconds from {0};
    microseconds to {0};
    /// Positions in the plan's targets; empty for all.
    std::vector<std::size_t> targets;
    milliseconds timeout {2000};
    /// Compares every result with what the backend server stand-ins give.
    bool checkResults = false;
};

/// One HTTP call to a stand-in's or daemon's control interface at a stated time.
struct control_step
{
    microseconds at {0};
    std::string method = "POST";
    ip_address address;
    std::string path;
    std::vector<http_header> headers;
    std::string body;
};

/// A span of arrivals that gets figures of its own.
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
    /// Length of the intervals reported over time; 0 for none.
    microseconds interval {0};
    long connectionsPerTarget = 256;
    /// Makes idempotency keys unique to a run.
    std::string keyPrefix = "load";
    std::vector<ip_address> targets;
    std::vector<load_stream> streams;
    std::vector<control_step> steps;
    std::vector<load_phase> phases;
    /// Control addresses of the backend server stand-ins whose records are compared with the answers.
    std::vector<ip_address> records;
};

/// Everything that is wrong with a plan, each with the path of its field.
struct load_plan_error
{
    std::vector<std::string> mistakes;
};

/// Reads a plan in JSON; times are seconds. Errors: load_plan_error.
leaf::result<load_plan> parseLoadPlan(std::string_view text);

} // namespace daisystile
