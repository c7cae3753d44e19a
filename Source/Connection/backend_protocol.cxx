#include "backend_protocol.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisystile {

static constexpr int statusDone = 200;
static constexpr int statusSnapshotNotHeld = 409;
static constexpr int statusShardNotHere = 421;
static constexpr int statusCancelled = 499;
static constexpr int statusUnavailable = 503;
static constexpr milliseconds cancelTimeout {1000};

std::string backendRequestId(const query_reference &query, const shard_attempt &attempt)
{
    std::string id = query.coordinator.value;
    for (const std::uint64_t part :
        {query.incarnationNumber.value, query.query.value, std::uint64_t {attempt.shard.value}, std::uint64_t {attempt.attempt.value}}) {
        id += '-';
        id += std::to_string(part);
    }
    return id;
}

http_call makeSearchCall(const search_batch &batch, const shard_attempt &attempt, const ip_address &server, milliseconds left)
{
    http_call call;
    call.method = "POST";
    call.address = server;
    call.path = "/shards/" + std::to_string(attempt.shard.value) + "/search";
    call.headers = {{"Snapshot", batch.snapshot.value},
        {"Shard-Map-Version", std::to_string(batch.mapVersion.value)},
        {"Request-Id", backendRequestId(batch.query, attempt)},
        {"Deadline", std::to_string(left.count())}};
    call.body = batch.body;
    call.timeout = left;
    return call;
}

http_call makeCancelCall(const ip_address &server, const std::string &requestId)
{
    http_call call;
    call.method = "DELETE";
    call.address = server;
    call.path = "/requests/" + requestId;
    call.timeout = cancelTimeout;
    return call;
}

static shard_answer failed(run_outcome outcome, attempt_failure failure)
{
    shard_answer answer;
    answer.outcome = outcome;
    answer.failure = failure;
    return answer;
}

static attempt_failure failureOf(http_failure_kind kind)
{
    switch (kind) {
    case http_failure_kind::connect_failed:
    case http_failure_kind::reset:
        return attempt_failure::server_lost;
    case http_failure_kind::timed_out:
        return attempt_failure::timed_out;
    case http_failure_kind::cancelled:
        return attempt_failure::cancelled;
    case http_failure_kind::malformed:
        return attempt_failure::malformed;
    }
    return attempt_failure::malformed;
}

// Snapshot and shard map are in the reply's headers, so the body is passed on without being parsed.
static shard_answer readDone(http_reply reply)
{
    shard_answer answer;
    const auto snapshot = reply.headers.find("snapshot");
    const auto version = reply.headers.find("shard-map-version");
    if (snapshot == reply.headers.end() || version == reply.headers.end()) {
        return failed(run_outcome::done, attempt_failure::malformed);
    }
    const auto &digits = version->second;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), answer.mapVersion.value);
    if (code != std::errc {} || end != digits.data() + digits.size()) {
        return failed(run_outcome::done, attempt_failure::malformed);
    }
    answer.outcome = run_outcome::done;
    answer.snapshot = {snapshot->second};
    answer.body = std::move(reply.body);
    return answer;
}

static bool answersRequest(const http_reply &reply, const std::string &requestId)
{
    const auto found = reply.headers.find("request-id");
    return found != reply.headers.end() && found->second == requestId;
}

// The server reports a snapshot that it holds, with which the query can be restarted.
static shard_answer readSnapshotNotHeld(const http_reply &reply)
{
    auto answer = failed(run_outcome::not_run, attempt_failure::snapshot_not_held);
    const auto held = reply.headers.find("snapshot");
    if (held != reply.headers.end()) {
        answer.snapshot = {held->second};
    }
    return answer;
}

attempt_failure readUnavailableReason(const std::string &body)
{
    const auto problem = parseForeignJson(body);
    const auto found = problem.is_object() ? problem.find("title") : problem.end();
    const auto title = problem.is_object() && found != problem.end() && found->is_string() ? found->get<std::string>() : std::string();
    if (title == "draining") {
        return attempt_failure::draining;
    }
    if (title == "deadline passed") {
        return attempt_failure::too_late;
    }
    return attempt_failure::shed;
}

static shard_answer readReply(const std::string &requestId, http_reply reply)
{
    switch (reply.status) {
    case statusDone:
        if (!answersRequest(reply, requestId)) {
            return failed(run_outcome::unknown, attempt_failure::malformed);
        }
        return readDone(std::move(reply));
    case statusSnapshotNotHeld:
        return readSnapshotNotHeld(reply);
    case statusShardNotHere:
        return failed(run_outcome::not_run, attempt_failure::shard_not_here);
    case statusCancelled:
        return failed(run_outcome::unknown, attempt_failure::cancelled);
    case statusUnavailable:
        return failed(run_outcome::not_run, readUnavailableReason(reply.body));
    default:
        return failed(run_outcome::unknown, attempt_failure::malformed);
    }
}

shard_answer readSearchAnswer(const std::string &requestId, http_result result)
{
    if (auto *reply = std::get_if<http_reply>(&result)) {
        return readReply(requestId, std::move(*reply));
    }
    const auto &failure = std::get<http_failure>(result);
    return failed(failure.mayHaveBeenSent ? run_outcome::unknown : run_outcome::not_run, failureOf(failure.kind));
}

request_end requestEndFor(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::none:
        return request_end::good;
    case attempt_failure::shed:
        return request_end::shed;
    case attempt_failure::draining:
        return request_end::draining;
    case attempt_failure::server_lost:
        return request_end::lost;
    case attempt_failure::timed_out:
        return request_end::timed_out;
    case attempt_failure::cancelled:
        return request_end::cancelled;
    default:
        return request_end::neutral;
    }
}

} // namespace daisystile
