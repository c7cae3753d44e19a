#include "quarantine_endpoint.h"

#include "operators_json.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisystile {

using nlohmann::json;

static constexpr std::string_view pathPrefix = "/v1/admin/quarantine/";
static constexpr int hexadecimal = 16;

static std::string toHex(fingerprint request)
{
    char digits[2 * sizeof request.value];
    const auto end = std::to_chars(digits, digits + sizeof digits, request.value, hexadecimal).ptr;
    return {digits, end};
}

static std::optional<fingerprint> parseHex(std::string_view text)
{
    fingerprint request;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), request.value, hexadecimal);
    if (code != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return request;
}

static http_response toResponse(const std::vector<quarantined_request> &requests, monotonic_time now)
{
    auto list = json::array();
    for (const auto &entry : requests) {
        const auto left = std::chrono::duration_cast<seconds>(timeLeft(now, entry.until));
        list.push_back({{"service", entry.service.value}, {"fingerprint", toHex(entry.request)}, {"seconds_left", left.count()}});
    }
    return {.body = list.dump()};
}

static http_response lift(const http_request &request, const quarantine_source &source)
{
    const auto rest = std::string_view(request.path).substr(std::min(pathPrefix.size(), request.path.size()));
    const auto slash = rest.find('/');
    const auto requestFingerprint = slash == std::string_view::npos ? std::nullopt : parseHex(rest.substr(slash + 1));
    if (!requestFingerprint) {
        return operatorsProblem(400, "rejected", "expected quarantine/SERVICE/FINGERPRINT, the fingerprint in hexadecimal");
    }
    source.lift({std::string(rest.substr(0, slash))}, *requestFingerprint);
    return {.status = 202, .body = "{}"};
}

http_handler quarantineHandler(reactor &loop, quarantine_source source)
{
    return [&loop, source = std::move(source)](const http_request &request, const http_responder &respond) {
        if (request.method == "DELETE") {
            respond(lift(request, source));
            return;
        }
        if (request.method != "GET") {
            respond(operatorsProblem(405, "rejected", "expected GET or DELETE"));
            return;
        }
        source.list([&loop, respond](const std::vector<quarantined_request> &requests) {
            loop.post([&loop, respond, requests] { respond(toResponse(requests, loop.now())); });
        });
    };
}

} // namespace daisystile
