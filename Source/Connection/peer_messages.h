#pragma once

#include "burn_slice.h"

#include <Version/version.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// Identifies one query fleet-wide; a restarted coordinator never reuses a reference.
struct query_reference
{
    daemon_id coordinator;
    incarnation incarnationNumber;
    query_number query;

    auto operator<=>(const query_reference &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(coordinator, incarnationNumber, query);
    }
};

/// Whether a request ran on a server. Only not_run is always safe to retry.
enum class run_outcome : std::uint8_t {
    not_run,
    done,
    unknown,
};

/// Why an attempt had no result.
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

/// The name used in responses, logs and traces.
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

/// Shard requests of one query for one owner. The deadline is the time left when the coordinator sends the batch.
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

/// A server's load as measured by its owner, sent with each answer.
struct server_load
{
    std::uint16_t allowed = 0;
    std::uint16_t running = 0;
    std::uint16_t queued = 0;
    /// Recent latency in microseconds without queueing.
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
    /// As reported by the server.
    snapshot_id snapshot;
    shard_map_version mapVersion;
    std::string body;
    server_load load;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, shard, attempt, server, outcome, failure, snapshot, mapVersion, body, load);
    }
};

/// Attempts whose answers are no longer needed.
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

/// A coordinator's report to the daemon that keeps the request's record.
enum class guard_report : std::uint8_t {
    /// Asks whether the request may run.
    run_requested,
    /// The request was answered after it ran for the first time, or on a shard where a server was lost before.
    passed,
    /// The query ended without such an answer.
    ended,
    /// A server was lost while it ran the request; asks whether the shard may be retried once.
    crashed,
};

struct guard_question
{
    query_reference query;
    service_name service;
    fingerprint request;
    guard_report report = guard_report::run_requested;
    shard_index shard;
    backend_server_id server;
    /// Time left until the query's deadline.
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
    /// Retry the shard once.
    retry,
    /// Another query is running it on one shard; the verdict follows.
    wait,
    /// Leave the shard unanswered.
    give_up,
    quarantined,
};

struct guard_answer
{
    query_reference query;
    fingerprint request;
    guard_report report = guard_report::run_requested;
    shard_index shard;
    guard_verdict verdict = guard_verdict::wait;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(query, request, report, shard, verdict);
    }
};

/// Quarantines a request for the given time; zero lifts the quarantine.
struct quarantine_notice
{
    service_name service;
    fingerprint request;
    std::uint32_t leftMs = 0;
    /// The receiver forwards the notice within its failure domain.
    bool relay = false;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(service, request, leftMs, relay);
    }
};

/// A daemon's report to the keeper of a customer's shares; amounts in millionths of the contract.
struct share_report
{
    customer_id customer;
    /// The sender's clock; the grant echoes it.
    std::int64_t sentAtUs = 0;
    /// The keeper's clock from its latest grant; 0 if there was none.
    std::int64_t keeperStampUs = 0;
    std::uint32_t deposit = 0;
    std::uint32_t wanted = 0;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(customer, sentAtUs, keeperStampUs, deposit, wanted);
    }
};

/// Lends an amount for a time that counts from the sending of the report.
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

/// All messages that peer links carry. New alternatives are appended, because the index is part of the encoding.
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
    share_grant,
    config_pull,
    config_update>;

} // namespace daisystile
