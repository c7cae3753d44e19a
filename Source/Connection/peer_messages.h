#pragma once

#include "burn_slice.h"

#include <Version/version.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// Names one query over the whole fleet; a restarted coordinator never repeats one.
struct query_reference
{
    daemon_id coordinator;
    incarnation life;
    query_number query;

    auto operator<=>(const query_reference &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(coordinator, life, query);
    }
};

/// What is known of one run of one request. Only not_run may be sent again freely.
enum class run_outcome : std::uint8_t {
    not_run,
    done,
    unknown,
};

/// Why an attempt brought no result.
enum class attempt_failure : std::uint8_t {
    none,
    snapshot_not_held,
    shard_not_here,
    shed,
    queue_full,
    too_late,
    not_owner,
    server_lost,
    timed_out,
    draining,
    domain_out,
    quarantined,
    cancelled,
    malformed,
    peer_lost,
    platform_down,
    key_reused,
};

/// The name that callers, logs and traces show.
const char *toString(attempt_failure failure);

struct shard_attempt
{
    shard_index shard;
    attempt_number attempt;
    backend_server_id server;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(shard, attempt, server);
    }
};

/// Shard requests of one query for one owner; the deadline is what is left when it leaves the coordinator.
struct search_batch
{
    query_reference query;
    service_name service;
    customer_id customer;
    urgency rank = urgency::normal;
    snapshot_id snapshot;
    shard_map_version mapVersion;
    std::uint32_t deadlineMs = 0;
    fingerprint request;
    std::string body;
    std::vector<shard_attempt> attempts;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, service, customer, rank, snapshot, mapVersion, deadlineMs, request, body, attempts);
    }
};

/// A server's load as its owner counts it, sent with each answer.
struct server_load
{
    std::uint16_t allowed = 0;
    std::uint16_t running = 0;
    std::uint16_t queued = 0;
    /// Recent answer time in microseconds, queueing left out.
    std::uint32_t latencyUs = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(allowed, running, queued, latencyUs);
    }
};

struct shard_answer
{
    query_reference query;
    shard_index shard;
    attempt_number attempt;
    backend_server_id server;
    run_outcome outcome = run_outcome::unknown;
    attempt_failure failure = attempt_failure::none;
    /// As the server stated them.
    snapshot_id snapshot;
    shard_map_version mapVersion;
    std::string body;
    server_load load;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, shard, attempt, server, outcome, failure, snapshot, mapVersion, body, load);
    }
};

/// Attempts whose answers are no longer wanted.
struct cancel_batch
{
    query_reference query;
    std::vector<shard_attempt> attempts;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, attempts);
    }
};

/// An execute request on its way to the daemon that owns its journal or its server.
struct execute_request
{
    query_reference query;
    service_name service;
    customer_id customer;
    urgency rank = urgency::normal;
    idempotency_key key;
    fingerprint request;
    std::uint32_t deadlineMs = 0;
    backend_server_id server;
    std::string body;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, service, customer, rank, key, request, deadlineMs, server, body);
    }
};

struct execute_answer
{
    query_reference query;
    run_outcome outcome = run_outcome::unknown;
    attempt_failure failure = attempt_failure::none;
    std::string body;
    server_load load;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, outcome, failure, body, load);
    }
};

/// What a coordinator tells the keeper of a request's record.
enum class guard_report : std::uint8_t {
    /// May the request run?
    asks,
    /// It ran where it had not run before, or where a server was lost, and was answered.
    passed,
    /// Its query ended without an answer to say so.
    ended,
    /// A server was lost while it ran the request; may the shard be tried once more?
    crashed,
};

struct guard_question
{
    query_reference query;
    service_name service;
    fingerprint request;
    guard_report report = guard_report::asks;
    shard_index shard;
    backend_server_id server;
    /// What is left of the query's time.
    std::uint32_t deadlineMs = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, service, request, report, shard, server, deadlineMs);
    }
};

enum class guard_verdict : std::uint8_t {
    /// Run it on all shards.
    clear,
    /// Run it on one shard first.
    try_one,
    /// Try the shard once more.
    retry,
    /// Another query tries it; the verdict follows.
    wait,
    /// Leave the shard unanswered.
    give_up,
    quarantined,
};

struct guard_answer
{
    query_reference query;
    fingerprint request;
    guard_report report = guard_report::asks;
    shard_index shard;
    guard_verdict verdict = guard_verdict::wait;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, request, report, shard, verdict);
    }
};

/// A request that no server may run for a time, or, with no time left, again may.
struct quarantine_notice
{
    service_name service;
    fingerprint request;
    std::uint32_t leftMs = 0;
    /// To be passed on to the receiver's failure domain.
    bool relay = false;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(service, request, leftMs, relay);
    }
};

/// A daemon's word to a customer's share keeper; amounts in millionths of the contract.
struct share_report
{
    customer_id customer;
    /// The sender's clock, for the grant to send back.
    std::int64_t sentAtUs = 0;
    /// The keeper's clock in its newest grant; 0 when there was none.
    std::int64_t keeperStampUs = 0;
    std::uint32_t deposit = 0;
    std::uint32_t wanted = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(customer, sentAtUs, keeperStampUs, deposit, wanted);
    }
};

/// A loan, for a time that counts from the report's sending.
struct share_grant
{
    customer_id customer;
    std::int64_t sentAtUs = 0;
    std::int64_t keeperStampUs = 0;
    std::uint32_t loan = 0;
    std::uint32_t loanMs = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(customer, sentAtUs, keeperStampUs, loan, loanMs);
    }
};

/// Everything that peer links carry; new kinds go to the end.
using peer_message = std::variant<search_batch,
    shard_answer,
    cancel_batch,
    execute_request,
    execute_answer,
    burn_request,
    burn_reply,
    guard_question,
    guard_answer,
    quarantine_notice,
    share_report,
    share_grant>;

} // namespace daisystile
