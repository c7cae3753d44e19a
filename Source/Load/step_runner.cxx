#include "step_runner.h"

#include <nlohmann/json.hpp>

namespace daisystile {

using nlohmann::json;

static constexpr milliseconds stepTimeout {5000};

std::vector<step_outcome> runSteps(const load_plan &plan, monotonic_time start)
{
    reactor loop;
    http_client client(loop);
    std::vector<step_outcome> outcomes;
    const auto elapsed = [&] {
        return std::chrono::duration_cast<microseconds>(loop.now() - start);
    };
    const auto sendStep = [&](std::size_t position) {
        const auto &step = plan.steps[position];
        const auto at = elapsed();
        http_call call {.method = step.method, .address = step.address, .path = step.path, .headers = step.headers, .body = step.body, .timeout = stepTimeout};
        client.send(std::move(call), [&, position, at](http_result result) {
            const auto *reply = std::get_if<http_reply>(&result);
            outcomes.push_back({position, at, reply != nullptr ? reply->status : 0});
            if (outcomes.size() == plan.steps.size()) {
                loop.stop();
            }
        });
    };
    for (std::size_t i = 0; i < plan.steps.size(); ++i) {
        loop.after(std::chrono::duration_cast<milliseconds>(plan.steps[i].at - elapsed()), [&, i] { sendStep(i); });
    }
    if (!plan.steps.empty()) {
        loop.run();
    }
    return outcomes;
}

static void addCounts(const json &object, const char *section, const char *counter, std::map<std::string, std::uint64_t> &counts)
{
    const auto found = object.find(section);
    if (found == object.end() || !found->is_object()) {
        return;
    }
    for (const auto &[name, entry] : found->items()) {
        const auto count = entry.find(counter);
        counts[name] += count != entry.end() && count->is_number_unsigned() ? count->get<std::uint64_t>() : 0;
    }
}

static bool addRecords(const std::string &body, backend_records &records)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return false;
    }
    addCounts(object, "executions", "started", records.runsByKey);
    addCounts(object, "servers", "received", records.receivedByServer);
    return true;
}

std::optional<backend_records> readRecords(const std::vector<ip_address> &addresses)
{
    reactor loop;
    http_client client(loop);
    backend_records records;
    std::size_t answered = 0;
    bool allRead = !addresses.empty();
    for (const auto &address : addresses) {
        client.send({.address = address, .path = "/control/records", .timeout = stepTimeout}, [&](http_result result) {
            const auto *reply = std::get_if<http_reply>(&result);
            allRead = allRead && reply != nullptr && addRecords(reply->body, records);
            answered += 1;
            if (answered == addresses.size()) {
                loop.stop();
            }
        });
    }
    if (!addresses.empty()) {
        loop.run();
    }
    return allRead ? std::optional(std::move(records)) : std::nullopt;
}

static std::map<std::string, std::uint64_t> difference(const std::map<std::string, std::uint64_t> &earlier, const std::map<std::string, std::uint64_t> &later)
{
    auto result = later;
    for (const auto &[name, count] : earlier) {
        const auto found = result.find(name);
        if (found != result.end()) {
            found->second -= std::min(count, found->second);
        }
    }
    return result;
}

backend_records recordsSince(const backend_records &earlier, const backend_records &later)
{
    return {difference(earlier.runsByKey, later.runsByKey), difference(earlier.receivedByServer, later.receivedByServer)};
}

} // namespace daisystile
