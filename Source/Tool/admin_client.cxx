#include "admin_client.h"

namespace daisystile {

namespace {

constexpr milliseconds callTimeout {15000};

} // namespace

admin_client::admin_client(const tool_settings &settings)
    : m_settings(settings)
{
}

http_result admin_client::call(const std::string &method, const std::string &path, const std::string &body, std::vector<http_header> headers)
{
    headers.push_back({"Authorization", "Bearer " + m_settings.token});
    headers.push_back({"Operator", m_settings.changedBy});
    http_result result = http_failure {http_failure_kind::connect_failed, false, "no daemon address configured; see --daemon"};
    for (const auto &address : m_settings.daemons) {
        result = callDaemon(address, {.method = method, .path = "/v1/admin/" + path, .headers = headers, .body = body, .timeout = callTimeout});
        const auto *failure = std::get_if<http_failure>(&result);
        if (failure == nullptr || failure->mayHaveBeenSent) {
            return result;
        }
    }
    return result;
}

http_result admin_client::callDaemon(const ip_address &address, http_call call)
{
    call.address = address;
    http_result answer;
    m_http.send(std::move(call), [&](http_result result) {
        answer = std::move(result);
        m_loop.stop();
    });
    m_loop.run();
    return answer;
}

void admin_client::sleepFor(milliseconds time)
{
    m_loop.after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

} // namespace daisystile
