#pragma once

#include <Process/process.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <vector>

namespace daisystile {

/// HTTP calls that a test waits for, one or many at a time.
class test_client
{
public:
    http_result call(http_call call);
    /// Keeps so many calls under way until all are answered; results in the order of the calls.
    std::vector<http_result> callAll(std::vector<http_call> calls, std::size_t atOnce);

    /// Sends without waiting; answers come while the client waits for something.
    void start(http_call call, std::function<void(http_result)> callback);
    /// Serves answers until the condition holds; false when it does not within the time.
    bool waitUntil(const std::function<bool()> &condition, milliseconds longest = seconds {30});

    /// The reply's JSON; null when there is no answer or no JSON.
    nlohmann::json get(const ip_address &address, const std::string &path);
    nlohmann::json send(const std::string &method, const ip_address &address, const std::string &path, const nlohmann::json &body);

private:
    reactor m_loop;
    http_client m_client {m_loop, {.connectionsPerAddress = 512}};
};

/// The reply's JSON; null when there is no answer or no JSON.
nlohmann::json jsonOf(const http_result &result);
/// 0 when there is no answer.
int statusOf(const http_result &result);

} // namespace daisystile
