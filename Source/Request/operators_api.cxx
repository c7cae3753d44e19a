#include "operators_api.h"

#include "operators_json.h"

#include <charconv>
#include <chrono>

namespace daisystile {

namespace {

constexpr std::string_view adminPath = "/v1/admin/";
constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t maxChangeIdLength = 64;
constexpr std::size_t maxOperatorLength = 100;
/// Attempts to change a failure domain's state; after a conflict the current states are read again.
constexpr unsigned maxDomainChangeAttempts = 8;

const config_object fleetDomains {config_kind::domains, std::string(domainsName)};

std::int64_t secondsSinceEpoch()
{
    return std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

bool isChangeId(std::string_view text)
{
    static constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    return !text.empty() && text.size() <= maxChangeIdLength && text.find_first_not_of(allowed) == std::string_view::npos;
}

http_response badRequest(const std::string &why)
{
    return operatorsProblem(400, "rejected", why);
}

http_response unavailable(const platform_unavailable &reason)
{
    return operatorsProblem(503, "rejected", "the platform can't be reached: " + reason.message);
}

http_response notFound(const std::string &what)
{
    return operatorsProblem(404, "rejected", what);
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc {} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

struct parsed_change_headers
{
    change_request change;
    std::optional<std::string> error;
};

parsed_change_headers parseChangeHeaders(const config_object &object, const http_request &request)
{
    parsed_change_headers result;
    result.change.object = object;
    result.change.change.value = request.header("change-id").value_or("");
    result.change.changedBy = request.header("operator").value_or("").substr(0, maxOperatorLength);
    result.change.resent = request.header("resend").has_value();
    result.change.at = secondsSinceEpoch();
    if (!isChangeId(result.change.change.value)) {
        result.error = "header Change-Id: expected up to 64 letters, digits, hyphens and underscores";
    }
    return result;
}

std::vector<std::string> segmentsOf(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        const auto slash = path.find('/');
        segments.emplace_back(path.substr(0, slash));
        path.remove_prefix(slash == std::string_view::npos ? path.size() : slash + 1);
    }
    return segments;
}

std::vector<failure_domain> domainStatesOf(const current_object &current)
{
    if (!current.record) {
        return {};
    }
    auto states = parseFailureDomains(current.record->text, domainsName);
    auto *found = std::get_if<std::vector<failure_domain>>(&states);
    return found == nullptr ? std::vector<failure_domain> {} : std::move(*found);
}

config_version versionOf(const current_object &current)
{
    return current.record ? current.record->version : config_version {};
}

} // namespace

operators_api::operators_api(reactor &loop, platform_client &platform, operators_api_settings settings, callbacks handlers)
    : m_settings(std::move(settings)),
      m_platform(platform),
      m_writer(loop, platform),
      m_callbacks(std::move(handlers))
{
}

void operators_api::add(const std::string &path, http_handler handler)
{
    m_pathHandlers[path] = std::move(handler);
}

void operators_api::handle(http_request request, http_responder respond)
{
    const auto authorization = request.header("authorization").value_or("");
    const bool hasToken = authorization.starts_with(bearer);
    if (!hasToken || !equalInConstantTime(sha256Hex(authorization.substr(bearer.size())), m_settings.tokenDigest)) {
        respond(operatorsProblem(401, "rejected", "the operators' token is missing or wrong"));
        return;
    }
    const auto path = request.path.substr(std::min(adminPath.size(), request.path.size()));
    const auto slash = path.find('/');
    const auto first = path.substr(0, slash);
    const auto rest = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (first == "contracts" || first == "services") {
        serveObjects(first == "contracts" ? config_kind::contract : config_kind::service, rest, std::move(request), std::move(respond));
    } else if (first == "domains") {
        serveDomains(rest, request, std::move(respond));
    } else if (path == "status" && request.method == "GET") {
        serveStatus(std::move(respond));
    } else if (const auto added = m_pathHandlers.find(first); added != m_pathHandlers.end()) {
        added->second(std::move(request), std::move(respond));
    } else {
        respond(notFound("no such path: " + request.path));
    }
}

void operators_api::serveObjects(config_kind kind, const std::string &rest, http_request request, http_responder respond)
{
    const auto segments = segmentsOf(rest);
    const bool isGet = request.method == "GET";
    if (segments.empty() && isGet) {
        listObjects(kind, respond);
        return;
    }
    if (segments.empty() || !isName(segments[0])) {
        respond(notFound("no such " + std::string(toString(kind))));
        return;
    }
    const config_object object {kind, segments[0]};
    if (segments.size() == 1 && isGet) {
        showObject(object, std::move(respond));
    } else if (segments.size() == 1 && request.method == "PUT") {
        changeObject(object, request, std::move(respond));
    } else if (segments.size() == 2 && segments[1] == "history" && isGet) {
        showHistory(object, std::move(respond));
    } else {
        respond(operatorsProblem(405, "rejected", "no such method or path"));
    }
}

void operators_api::listObjects(config_kind kind, const http_responder &respond)
{
    respond(objectListResponse(kind, *m_callbacks.view()->config));
}

void operators_api::showObject(const config_object &object, http_responder respond)
{
    readCurrent(m_platform, object, [object, respond = std::move(respond)](const current_result &result) {
        const auto *current = std::get_if<current_object>(&result);
        if (current == nullptr) {
            respond(unavailable(std::get<platform_unavailable>(result)));
        } else if (!current->record) {
            respond(notFound("no " + std::string(toString(object.kind)) + " named " + object.name));
        } else {
            respond(recordResponse(*current->record));
        }
    });
}

void operators_api::showHistory(const config_object &object, http_responder respond)
{
    readHistory(m_platform, object, [respond = std::move(respond)](const history_result &result) {
        const auto *records = std::get_if<std::vector<config_record>>(&result);
        respond(records == nullptr ? unavailable(std::get<platform_unavailable>(result)) : historyResponse(*records));
    });
}

void operators_api::changeObject(const config_object &object, const http_request &request, http_responder respond)
{
    auto headers = parseChangeHeaders(object, request);
    const auto expected = parseNumber(request.header("expected-version").value_or(""));
    if (!expected) {
        headers.error = "header Expected-Version: expected a whole number, 0 for a new one";
    }
    if (headers.error) {
        respond(badRequest(*headers.error));
        return;
    }
    headers.change.expected.value = *expected;
    headers.change.text = request.body;
    auto errors = checkRecordText(object, request.body, object.name);
    if (errors.all.empty()) {
        errors = checkReferences(object, request.body, object.name, *m_callbacks.view()->config);
    }
    if (!errors.all.empty()) {
        respond(errorsResponse(errors));
        return;
    }
    apply(std::move(headers.change), [respond = std::move(respond)](const change_outcome &outcome) { respond(outcomeResponse(outcome)); });
}

void operators_api::apply(change_request change, std::function<void(const change_outcome &)> done)
{
    m_writer.apply(std::move(change), [this, done = std::move(done)](const change_outcome &outcome) {
        if (const auto *accepted = std::get_if<change_accepted>(&outcome)) {
            DAISYSTILE_LOG(INFO, "operators") << "Change accepted." << field("kind", toString(accepted->record.object.kind))
                                              << field("name", accepted->record.object.name) << field("version", accepted->record.version.value)
                                              << field("change", accepted->record.change.value) << field("operator", accepted->record.changedBy);
            m_callbacks.accepted(*accepted);
        }
        done(outcome);
    });
}

void operators_api::serveDomains(const std::string &rest, const http_request &request, http_responder respond)
{
    const auto segments = segmentsOf(rest);
    if (segments.empty() && request.method == "GET") {
        readCurrent(m_platform, fleetDomains, [this, respond = std::move(respond)](const current_result &result) {
            const auto *current = std::get_if<current_object>(&result);
            if (current == nullptr) {
                respond(unavailable(std::get<platform_unavailable>(result)));
                return;
            }
            auto states = domainStatesOf(*current);
            const auto view = m_callbacks.view();
            for (const auto &domain : observedDomains(*view)) {
                const auto same = [&](const failure_domain &state) {
                    return state.name == domain.name;
                };
                if (std::none_of(states.begin(), states.end(), same)) {
                    states.push_back(domain);
                }
            }
            respond(domainsResponse(versionOf(*current), states));
        });
        return;
    }
    const bool known = segments.size() == 2 && (segments[1] == "out" || segments[1] == "in");
    if (!known || request.method != "POST") {
        respond(operatorsProblem(405, "rejected", "no such method or path"));
        return;
    }
    changeDomain({{segments[0]}, segments[1] == "out"}, request, 1, std::move(respond));
}

std::vector<failure_domain> operators_api::observedDomains(const fleet_view &view) const
{
    std::map<failure_domain_name, failure_domain> seen;
    for (const auto &one : view.members) {
        seen.try_emplace(one.domain, failure_domain {one.domain, one.region});
    }
    for (const auto &[name, target] : view.config->services) {
        for (const auto &server : target->servers) {
            seen.try_emplace(server.domain, failure_domain {server.domain, m_settings.region});
        }
    }
    std::vector<failure_domain> result;
    result.reserve(seen.size());
    for (auto &[name, domain] : seen) {
        result.push_back(std::move(domain));
    }
    return result;
}

void operators_api::changeDomain(const domain_state_change &change, const http_request &request, unsigned attempt, http_responder respond)
{
    readCurrent(m_platform, fleetDomains, [this, change, request, attempt, respond = std::move(respond)](const current_result &result) {
        if (const auto *current = std::get_if<current_object>(&result)) {
            applyDomains(*current, change, request, attempt, respond);
            return;
        }
        respond(unavailable(std::get<platform_unavailable>(result)));
    });
}

void operators_api::applyDomains(const current_object &current,
    const domain_state_change &change,
    const http_request &request,
    unsigned attempt,
    http_responder respond)
{
    auto headers = parseChangeHeaders(fleetDomains, request);
    if (headers.error) {
        respond(badRequest(*headers.error));
        return;
    }
    const auto view = m_callbacks.view();
    const auto states = domainStatesOf(current);
    const auto changed = applyDomainChange(states, observedDomains(*view), change);
    if (const auto *unknown = std::get_if<unknown_domain>(&changed)) {
        std::string names;
        for (const auto &name : unknown->known) {
            names += " " + name.value;
        }
        respond(notFound("no failure domain named " + change.domain.value + "; known:" + names));
        return;
    }
    const auto &after = std::get<std::vector<failure_domain>>(changed);
    const auto losses = describeLosses(*view->config, states, after);
    if (!losses.empty() && !request.header("force")) {
        respond(lossesResponse(losses));
        return;
    }
    headers.change.expected = versionOf(current);
    headers.change.text = toText(after);
    headers.change.derived = true;
    apply(std::move(headers.change), [this, change, request, attempt, respond = std::move(respond)](const change_outcome &outcome) {
        // All failure domains share one record, so a change of another domain is no conflict for the operator: retry on the
        // current record.
        if (std::holds_alternative<change_conflict>(outcome) && attempt < maxDomainChangeAttempts) {
            changeDomain(change, request, attempt + 1, respond);
            return;
        }
        respond(outcomeResponse(outcome));
    });
}

void operators_api::serveStatus(http_responder respond)
{
    if (!m_callbacks.requestNumbers) {
        respond(statusResponse(m_settings, m_callbacks.number(), *m_callbacks.view(), {}));
        return;
    }
    m_callbacks.requestNumbers([this, respond = std::move(respond)](const std::vector<member_config_number> &members) {
        respond(statusResponse(m_settings, m_callbacks.number(), *m_callbacks.view(), members));
    });
}

} // namespace daisystile
