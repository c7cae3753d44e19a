#include "platform_client.h"

#include "platform_replies.h"

namespace daisystile {

namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNoContent = 204;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char letter : text) {
        if (plain.find(letter) != std::string_view::npos) {
            result += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & 15U];
    }
    return result;
}

std::string etagOf(const http_reply &reply)
{
    const auto entry = reply.headers.find("etag");
    return entry == reply.headers.end() ? "" : entry->second;
}

struct condition_header
{
    std::vector<http_header> operator()(const if_absent &) const
    {
        return {{"If-None-Match", "*"}};
    }

    std::vector<http_header> operator()(const if_version &condition) const
    {
        return {{"If-Match", condition.etag}};
    }

    std::vector<http_header> operator()(const always &) const
    {
        return {};
    }
};

template<class Result> Result failedWrite(const http_failure &failure)
{
    if (failure.mayHaveBeenSent) {
        return write_unknown {failure.message};
    }
    return platform_unavailable {failure.message};
}

// Statuses that say the call was turned away before it ran; after any other error the outcome is open.
template<class Result> Result refusedWrite(int status)
{
    const auto text = "status " + std::to_string(status);
    if (status == statusUnavailable || status == statusTooManyRequests) {
        return platform_unavailable {text};
    }
    return write_unknown {text};
}

write_result writeResult(const http_result &result)
{
    if (const auto *failure = std::get_if<http_failure>(&result)) {
        return failedWrite<write_result>(*failure);
    }
    const auto &reply = std::get<http_reply>(result);
    if (reply.status == statusOk || reply.status == statusCreated || reply.status == statusNoContent) {
        return object_written {etagOf(reply)};
    }
    if (reply.status == statusPreconditionFailed || reply.status == statusNotFound) {
        return write_conflict {};
    }
    return refusedWrite<write_result>(reply.status);
}

remove_result removeResult(const http_result &result)
{
    if (const auto *failure = std::get_if<http_failure>(&result)) {
        return failedWrite<remove_result>(*failure);
    }
    const auto &reply = std::get<http_reply>(result);
    if (reply.status == statusOk || reply.status == statusNoContent) {
        return object_removed {};
    }
    if (reply.status == statusNotFound) {
        return object_not_found {};
    }
    if (reply.status == statusPreconditionFailed) {
        return write_conflict {};
    }
    return refusedWrite<remove_result>(reply.status);
}

read_result readResult(const std::string &key, const http_result &result)
{
    if (const auto *failure = std::get_if<http_failure>(&result)) {
        return platform_unavailable {failure->message};
    }
    const auto &reply = std::get<http_reply>(result);
    if (reply.status == statusOk) {
        return platform_object {key, etagOf(reply), reply.body};
    }
    if (reply.status == statusNotFound) {
        return object_not_found {};
    }
    return platform_unavailable {"status " + std::to_string(reply.status)};
}

} // namespace

platform_client::platform_client(http_client &http, platform_client_settings settings)
    : m_http(http),
      m_settings(std::move(settings))
{
}

http_call_id platform_client::send(http_call call, std::function<void(http_result)> callback)
{
    call.address = m_settings.platform;
    call.headers.push_back({"Failure-Domain", m_settings.domain.value});
    m_counts.bytesSent += call.path.size() + call.body.size();
    return m_http.send(std::move(call), [this, callback = std::move(callback)](http_result result) {
        if (const auto *reply = std::get_if<http_reply>(&result)) {
            m_counts.bytesReceived += reply->body.size();
        } else {
            m_counts.failed += 1;
        }
        callback(std::move(result));
    });
}

http_call_id platform_client::get(const std::string &key, std::function<void(read_result)> callback)
{
    m_counts.get += 1;
    http_call call {.path = "/objects/" + percentEncode(key), .timeout = m_settings.timeout};
    return send(std::move(call), [key, callback = std::move(callback)](http_result result) { callback(readResult(key, result)); });
}

http_call_id platform_client::put(const std::string &key, std::string value, const write_condition &condition, std::function<void(write_result)> callback)
{
    m_counts.put += 1;
    http_call call {.method = "PUT",
        .path = "/objects/" + percentEncode(key),
        .headers = std::visit(condition_header {}, condition),
        .body = std::move(value),
        .timeout = m_settings.timeout};
    return send(std::move(call), [callback = std::move(callback)](http_result result) { callback(writeResult(result)); });
}

http_call_id platform_client::remove(const std::string &key, const write_condition &condition, std::function<void(remove_result)> callback)
{
    m_counts.remove += 1;
    http_call call {
        .method = "DELETE", .path = "/objects/" + percentEncode(key), .headers = std::visit(condition_header {}, condition), .timeout = m_settings.timeout};
    return send(std::move(call), [callback = std::move(callback)](http_result result) { callback(removeResult(result)); });
}

http_call_id platform_client::list(const std::string &prefix, std::function<void(list_result)> callback)
{
    m_counts.list += 1;
    http_call call {.path = "/objects?prefix=" + percentEncode(prefix), .timeout = m_settings.timeout};
    return send(std::move(call), [callback = std::move(callback)](http_result result) {
        if (const auto *failure = std::get_if<http_failure>(&result)) {
            callback(platform_unavailable {failure->message});
            return;
        }
        callback(parseListReply(std::get<http_reply>(result)));
    });
}

http_call_id platform_client::watch(const std::string &prefix, std::uint64_t after, std::function<void(watch_result)> callback)
{
    m_counts.watch += 1;
    const auto wait = "&wait_ms=" + std::to_string(m_settings.watchWait.count());
    http_call call {.path = "/watch?prefix=" + percentEncode(prefix) + "&after=" + std::to_string(after) + wait, .timeout = m_settings.watchTimeout};
    return send(std::move(call), [callback = std::move(callback)](http_result result) {
        if (const auto *failure = std::get_if<http_failure>(&result)) {
            callback(platform_unavailable {failure->message});
            return;
        }
        callback(parseWatchReply(std::get<http_reply>(result)));
    });
}

http_call_id platform_client::hosts(std::function<void(host_result)> callback)
{
    m_counts.hosts += 1;
    http_call call {.path = "/hosts", .timeout = m_settings.timeout};
    return send(std::move(call), [callback = std::move(callback)](http_result result) {
        if (const auto *failure = std::get_if<http_failure>(&result)) {
            callback(platform_unavailable {failure->message});
            return;
        }
        callback(parseHostsReply(std::get<http_reply>(result)));
    });
}

void platform_client::cancel(http_call_id call)
{
    m_http.cancel(call);
}

const platform_call_counts &platform_client::counts() const
{
    return m_counts;
}

} // namespace daisystile
