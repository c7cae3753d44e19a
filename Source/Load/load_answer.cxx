#include "load_answer.h"

#include <nlohmann/json.hpp>

#include <set>

namespace daisystile {

using nlohmann::json;

const char *toString(answer_kind kind)
{
    switch (kind) {
    case answer_kind::complete:
        return "complete";
    case answer_kind::partial:
        return "partial";
    case answer_kind::done:
        return "done";
    case answer_kind::not_run:
        return "not_run";
    case answer_kind::unknown:
        return "unknown";
    case answer_kind::over_contract:
        return "over_contract";
    case answer_kind::refused:
        return "refused";
    case answer_kind::client_error:
        return "client_error";
    case answer_kind::timed_out:
        return "timed_out";
    case answer_kind::failed:
        return "failed";
    }
    return "failed";
}

// Skips the results, which can be many and are not needed here.
static json parseWithoutResults(const std::string &body)
{
    const auto keep = [](int depth, json::parse_event_t event, json &parsed) {
        return !(depth == 1 && event == json::parse_event_t::key && parsed == "results");
    };
    return json::parse(body, keep, false);
}

static std::string textOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

static std::uint64_t numberOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

static void readMissing(const json &coverage, load_answer &answer)
{
    std::set<std::uint64_t> seen;
    const auto missing = coverage.find("missing");
    if (missing != coverage.end() && missing->is_array()) {
        for (const auto &entry : *missing) {
            answer.missingReasons[textOf(entry, "reason")] += 1;
            answer.incoherent |= !seen.insert(numberOf(entry, "shard")).second;
        }
    }
    answer.incoherent |= answer.covered + seen.size() != answer.shards;
}

static load_answer readQueryAnswer(const json &body)
{
    load_answer answer;
    const auto coverage = body.find("coverage");
    if (coverage == body.end() || !coverage->is_object()) {
        return answer;
    }
    answer.shards = numberOf(*coverage, "shards");
    answer.covered = numberOf(*coverage, "covered");
    answer.snapshot = textOf(body, "snapshot");
    answer.kind = answer.covered == answer.shards ? answer_kind::complete : answer_kind::partial;
    readMissing(*coverage, answer);
    return answer;
}

static answer_kind classifyError(request_kind kind, int status, const json &body)
{
    if (status == 429) {
        return answer_kind::over_contract;
    }
    const auto outcome = textOf(body, "outcome");
    if (kind == request_kind::execute && outcome == "not_run") {
        return answer_kind::not_run;
    }
    if (kind == request_kind::execute && outcome == "unknown") {
        return answer_kind::unknown;
    }
    return status < 500 ? answer_kind::client_error : answer_kind::refused;
}

static load_answer classifyReply(request_kind kind, const http_reply &reply)
{
    auto body = parseWithoutResults(reply.body);
    if (!body.is_object()) {
        body = json::object();
    }
    if (reply.status == 200 && kind == request_kind::query) {
        return readQueryAnswer(body);
    }
    const auto outcome = textOf(body, "outcome");
    if (reply.status == 200 && outcome != "not_run" && outcome != "unknown") {
        return {.kind = answer_kind::done};
    }
    if (reply.status == 200) {
        return {.kind = outcome == "not_run" ? answer_kind::not_run : answer_kind::unknown};
    }
    return {.kind = classifyError(kind, reply.status, body)};
}

load_answer classifyAnswer(request_kind kind, const http_result &result)
{
    if (const auto *reply = std::get_if<http_reply>(&result)) {
        return classifyReply(kind, *reply);
    }
    const auto &failure = std::get<http_failure>(result);
    return {.kind = failure.kind == http_failure_kind::timed_out ? answer_kind::timed_out : answer_kind::failed};
}

} // namespace daisystile
