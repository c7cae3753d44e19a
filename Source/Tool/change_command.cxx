#include "change_command.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <iostream>
#include <random>

namespace daisystile {

namespace {

constexpr unsigned maxResends = 3;
constexpr milliseconds resendInterval {500};
constexpr milliseconds pollInterval {200};
constexpr milliseconds maxWait {30000};
constexpr int changeIdWords = 3;

std::string newChangeId()
{
    std::random_device source;
    std::string text;
    for (int word = 0; word < changeIdWords; ++word) {
        text += (word == 0 ? "" : "-") + std::to_string(source());
    }
    return text;
}

/// Parses a body as a JSON object; returns an empty object if it is none.
nlohmann::json parseObject(const std::string &body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

bool isOutcomeUnknown(const http_result &result)
{
    if (const auto *failure = std::get_if<http_failure>(&result)) {
        return failure->mayHaveBeenSent;
    }
    return parseObject(std::get<http_reply>(result).body).value("outcome", "") == "unknown";
}

struct domain_progress
{
    std::size_t upToDate = 0;
    std::size_t daemons = 0;
    std::vector<std::string> outdatedDaemons;
};

using fleet_progress = std::map<std::string, domain_progress>;

fleet_progress progressOf(const nlohmann::json &status, std::uint64_t number)
{
    fleet_progress progress;
    for (const auto &daemon : status.value("daemons", nlohmann::json::array())) {
        auto &domain = progress[daemon.value("failure_domain", "")];
        domain.daemons += 1;
        if (daemon.value("answered", false) && daemon.value("number", std::uint64_t {0}) >= number) {
            domain.upToDate += 1;
        } else {
            domain.outdatedDaemons.push_back(daemon.value("id", ""));
        }
    }
    return progress;
}

bool isInForceEverywhere(const fleet_progress &progress)
{
    for (const auto &[name, domain] : progress) {
        if (!domain.outdatedDaemons.empty()) {
            return false;
        }
    }
    return !progress.empty();
}

std::string formatProgress(const fleet_progress &progress)
{
    std::string text;
    for (const auto &[name, domain] : progress) {
        text += (text.empty() ? "" : ", ") + name + " " + std::to_string(domain.upToDate) + "/" + std::to_string(domain.daemons);
    }
    return text;
}

int waitUntilInForce(admin_client &client, std::uint64_t number)
{
    const bool terminal = isatty(STDERR_FILENO) != 0;
    const auto end = std::chrono::steady_clock::now() + maxWait;
    fleet_progress progress;
    while (std::chrono::steady_clock::now() < end) {
        const auto result = client.call("GET", "status");
        if (const auto *reply = successOf(result)) {
            progress = progressOf(parseObject(reply->body), number);
        }
        if (terminal) {
            std::cerr << "\rin force: " << formatProgress(progress) << std::flush;
        }
        if (isInForceEverywhere(progress)) {
            std::cerr << (terminal ? "\n" : "in force: " + formatProgress(progress) + "\n");
            return exit_done;
        }
        client.sleepFor(pollInterval);
    }
    std::cerr << (terminal ? "\n" : "") << "not yet in force:";
    for (const auto &[name, domain] : progress) {
        for (const auto &id : domain.outdatedDaemons) {
            std::cerr << " " << name << "/" << id;
        }
    }
    std::cerr << "\n";
    return exit_not_in_force;
}

} // namespace

int submitChange(const tool_settings &settings, change_call call)
{
    const bool hasChangeId = !call.changeId.empty();
    const auto change = hasChangeId ? call.changeId : newChangeId();
    admin_client client(settings);
    auto headers = call.headers;
    headers.push_back({"Change-Id", change});
    if (hasChangeId) {
        headers.push_back({"Resend", "1"});
    }
    auto result = client.call(call.method, call.path, call.body, headers);
    for (unsigned attempt = 0; attempt < maxResends && isOutcomeUnknown(result); ++attempt) {
        client.sleepFor(resendInterval);
        auto resendHeaders = headers;
        resendHeaders.push_back({"Resend", "1"});
        result = client.call(call.method, call.path, call.body, resendHeaders);
    }
    const auto *reply = successOf(result);
    if (reply == nullptr) {
        const int code = reportFailure(result, settings, call.fileName);
        if (code == exit_unknown) {
            std::cerr << "outcome unknown; resend with --change-id " << change << "\n";
        }
        return code;
    }
    const auto answer = parseObject(reply->body);
    if (settings.format == output_format::json) {
        std::cout << reply->body;
    } else {
        std::cout << "accepted version " << answer.value("version", 0) << "\n";
    }
    return call.wait ? waitUntilInForce(client, answer.value("number", std::uint64_t {0})) : exit_done;
}

} // namespace daisystile
