#include "test_client.h"

namespace daisystile {

using nlohmann::json;

static constexpr milliseconds pollInterval {10};
static constexpr milliseconds controlTimeout {10000};

json jsonOf(const http_result &result)
{
    const auto *reply = std::get_if<http_reply>(&result);
    auto parsed = reply == nullptr ? json() : json::parse(reply->body, nullptr, false);
    return parsed.is_discarded() ? json() : parsed;
}

int statusOf(const http_result &result)
{
    const auto *reply = std::get_if<http_reply>(&result);
    return reply == nullptr ? 0 : reply->status;
}

http_result test_client::call(http_call call)
{
    return callAll({std::move(call)}, 1).front();
}

std::vector<http_result> test_client::callAll(std::vector<http_call> calls, std::size_t atOnce)
{
    std::vector<http_result> results(calls.size());
    std::size_t next = 0;
    std::size_t completed = 0;
    std::function<void()> sendNext = [&] {
        if (next == calls.size()) {
            return;
        }
        const auto index = next++;
        m_client.send(std::move(calls[index]), [&, index](http_result result) {
            results[index] = std::move(result);
            completed += 1;
            sendNext();
            if (completed == results.size()) {
                m_loop.stop();
            }
        });
    };
    for (std::size_t i = 0; i < atOnce; ++i) {
        sendNext();
    }
    if (!results.empty()) {
        m_loop.run();
    }
    return results;
}

void test_client::start(http_call call, std::function<void(http_result)> callback)
{
    m_client.send(std::move(call), std::move(callback));
}

bool test_client::waitUntil(const std::function<bool()> &condition, milliseconds maxWait)
{
    const auto deadline = m_loop.now() + maxWait;
    while (!condition()) {
        if (m_loop.now() >= deadline) {
            return false;
        }
        m_loop.after(pollInterval, [this] { m_loop.stop(); });
        m_loop.run();
    }
    return true;
}

json test_client::get(const ip_address &address, const std::string &path)
{
    return jsonOf(call({.address = address, .path = path, .timeout = controlTimeout}));
}

json test_client::send(const std::string &method, const ip_address &address, const std::string &path, const json &body)
{
    return jsonOf(call({.method = method, .address = address, .path = path, .body = body.dump(), .timeout = controlTimeout}));
}

} // namespace daisystile
