#include "quarantine_api.h"

#include <nlohmann/json.hpp>

namespace daisystile {

using nlohmann::json;

namespace {

constexpr int statusAccepted = 202;
constexpr int statusBadRequest = 400;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;

http_response problem(int status, const std::string &why)
{
    return {.status = status, .body = json {{"title", why}, {"status", status}}.dump(), .contentType = "application/problem+json"};
}

std::string listText(const std::vector<std::pair<suspect_record, milliseconds>> &requests)
{
    auto all = json::array();
    for (const auto &[record, left] : requests) {
        all.push_back({{"service", record.services.empty() ? "all" : record.services.begin()->value},
            {"fingerprint", toString(record.request)},
            {"servers_ended", strikes(record)},
            {"services", record.services.size()},
            {"seconds_left", std::chrono::duration_cast<seconds>(left).count()}});
    }
    return all.dump();
}

} // namespace

quarantine_api::quarantine_api(reactor &control, reactor &traffic, forwarder &requests, std::string tokenDigest)
    : m_control(control),
      m_traffic(traffic),
      m_requests(requests),
      m_tokenDigest(std::move(tokenDigest))
{
}

void quarantine_api::handle(const http_request &request, const http_responder &respond)
{
    if (request.method == "GET") {
        list(respond);
    } else if (request.method != "DELETE") {
        respond(problem(statusMethodNotAllowed, "expected GET or DELETE"));
    } else if (!authorized(request)) {
        respond(problem(statusForbidden, m_tokenDigest.empty() ? "no operator token is configured" : "the operator token is missing or wrong"));
    } else {
        lift(request, respond);
    }
}

bool quarantine_api::authorized(const http_request &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.header("authorization").value_or("");
    return !m_tokenDigest.empty() && header.starts_with(scheme)
        && equalInConstantTime(sha256Hex(std::string_view(header).substr(scheme.size())), m_tokenDigest);
}

void quarantine_api::list(const http_responder &respond)
{
    m_traffic.post([this, respond] { m_control.post([respond, text = listText(m_requests.quarantined())] { respond({.body = text}); }); });
}

void quarantine_api::lift(const http_request &request, const http_responder &respond)
{
    const auto digest = parseRequestDigest(std::string_view(request.path).substr(request.path.rfind('/') + 1));
    if (!digest) {
        respond(problem(statusBadRequest, "expected quarantine/SERVICE/FINGERPRINT, the fingerprint as listed"));
        return;
    }
    m_traffic.post([this, respond, digest = *digest] {
        const bool known = m_requests.liftQuarantine(digest);
        m_control.post([respond, known] {
            respond(known ? http_response {.status = statusAccepted, .body = "{}"} : problem(statusNotFound, "the request is not quarantined"));
        });
    });
}

} // namespace daisystile
