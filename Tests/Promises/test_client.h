#pragma once

#include <Process/process.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <vector>

namespace daisystile {

/// A blocking HTTP client for tests, which runs one or several calls concurrently.
class test_client
{
public:
    http_result call(http_call call);
    /// Runs all calls with at most atOnce in flight; returns the results in the order of the calls.
    std::vector<http_result> callAll(std::vector<http_call> calls, std::size_t atOnce);

    /// Sends the call without waiting; the callback runs during a later blocking call of this client.
    void start(http_call call, std::function<void(http_result)> callback);
    /// Processes responses until the condition holds; returns false if maxWait passes first.
    bool waitUntil(const std::function<bool()> &condition, milliseconds maxWait = seconds {30});

    /// Returns the response body parsed as JSON, or null if the call failed or the body is not JSON.
    nlohmann::json get(const ip_address &address, const std::string &path);
    nlohmann::json send(const std::string &method, const ip_address &address, const std::string &path, const nlohmann::json &body);

private:
    reactor m_loop;
    http_client m_client {m_loop, {.connectionsPerAddress = 512}};
};

/// Returns the response body parsed as JSON, or null if the call failed or the body is not JSON.
nlohmann::json jsonOf(const http_result &result);
/// Returns the HTTP status, or 0 if the call failed.
int statusOf(const http_result &result);

} // namespace daisystile
