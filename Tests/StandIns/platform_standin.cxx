#include "platform_standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

using nlohmann::json;
using namespace nlohmann::literals;

static constexpr milliseconds maximumWatchWait {10000};
// The connection of a hanging request is dropped after this time, so that it is not held forever.
static constexpr milliseconds maximumHang {30000};

// The published API returns few objects in each page. Small pages here make sure that each reader follows the pagination.
static constexpr std::size_t maximumPageItems = 50;

static const std::string objectsPath = "/v1/objects/";
static const std::string hostsPath = "/hosts/";
static const std::string controlObjectsPath = "/control/objects/";
static const std::string statusSuffix = "/status";
static const std::string hostsKind = "hosts";
static const std::string eraHeader = "Store-Era";

/// The "KIND" or "KIND/NAME" part of the request path; empty outside the object API.
static std::string pathKey(const http_request &request)
{
    return request.path.starts_with(objectsPath) ? request.path.substr(objectsPath.size()) : std::string();
}

static std::string callKind(const http_request &request)
{
    if (request.method == "DELETE") {
        return "delete";
    }
    if (request.method != "GET") {
        return "put";
    }
    if (request.query.contains("watch")) {
        return "watch";
    }
    const auto key = pathKey(request);
    if (key == hostsKind) {
        return "hosts";
    }
    return key.find('/') == std::string::npos ? "list" : "get";
}

// A daemon sends its failure domain after the slash of its User-Agent.
static std::string clientDomain(const http_request &request)
{
    const auto agent = request.header("user-agent").value_or("");
    const auto slash = agent.find('/');
    return slash == std::string::npos ? std::string() : agent.substr(slash + 1);
}

// Daemons replace the slashes of an object name by colons.
static std::string storedKey(const std::string &key)
{
    if (key.ends_with(statusSuffix)) {
        return storedKey(key.substr(0, key.size() - statusSuffix.size())) + statusSuffix;
    }
    const auto slash = key.find('/');
    auto stored = key;
    std::replace(stored.begin() + static_cast<std::ptrdiff_t>(std::min(slash + 1, key.size())), stored.end(), '/', ':');
    return stored;
}

static std::string objectName(const std::string &key)
{
    return key.substr(key.find('/') + 1);
}

static std::uint64_t parseRevision(const std::string &etag)
{
    return std::strtoull(etag.c_str() + (etag.starts_with('"') ? 1 : 0), nullptr, 10);
}

static std::string formatted(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

static http_response textResponse(std::string body, int status = 200)
{
    return {.status = status, .body = std::move(body)};
}

// Objects and arrays are passed on as they were written, also with contents that a reader may refuse.
static std::string objectText(const std::string &key, const std::string &etag, const std::string &value, const std::string &status = "")
{
    const json meta {{"name", objectName(key)}, {"revision", parseRevision(etag)}, {"finalizers", json::array()}, {"deleting", false}};
    const bool structured = splitJsonObject(value) || splitJsonArray(value);
    return R"({"meta":)" + formatted(meta) + R"(,"spec":)" + (structured ? value : formatted(value)) + R"(,"status":)" + (status.empty() ? "null" : status)
        + "}";
}

static std::string arrayText(const std::vector<std::string> &elements)
{
    std::string text = "[";
    for (const auto &element : elements) {
        text += (text.size() > 1 ? "," : "") + element;
    }
    return text + "]";
}

static std::string queryValue(const http_request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

static std::uint64_t queryNumber(const http_request &request, const std::string &name, std::uint64_t defaultValue)
{
    const auto text = queryValue(request, name);
    return text.empty() ? defaultValue : std::strtoull(text.c_str(), nullptr, 10);
}

platform_standin::platform_standin(reactor &loop)
    : m_loop(loop)
{
}

http_handler platform_standin::objectApi()
{
    return [this](http_request request, const http_responder &respond) {
        receive(std::move(request), [this, respond](http_response response) {
            response.headers.push_back({eraHeader, std::to_string(m_store.era())});
            respond(std::move(response));
        });
    };
}

http_handler platform_standin::controlApi()
{
    return handleJsonErrors([this](const http_request &request) { return control(request); });
}

void platform_standin::receive(http_request request, http_responder respond)
{
    const auto domain = clientDomain(request);
    m_counters.calls[callKind(request)] += 1;
    m_counters.callsByDomain[domain] += 1;
    m_counters.bytesIn += request.body.size();
    if (respondWithOutage(domain, respond)) {
        return;
    }
    auto counted = [this, respond = std::move(respond)](http_response response) {
        m_counters.bytesOut += response.body.size();
        respond(std::move(response));
    };
    if (m_faults.slowMs == 0) {
        serve(request, counted);
        return;
    }
    m_loop.after(milliseconds {m_faults.slowMs}, [this, request = std::move(request), counted = std::move(counted)] { serve(request, counted); });
}

bool platform_standin::respondWithOutage(const std::string &domain, const http_responder &respond)
{
    if (m_faults.cutDomains.contains(domain) || m_faults.outage == outage_kind::hang) {
        hang(respond);
        return true;
    }
    if (m_faults.outage == outage_kind::reset) {
        respond(dropConnectionResponse());
        return true;
    }
    if (m_faults.outage == outage_kind::unavailable || m_faults.outage == outage_kind::busy) {
        const bool busy = m_faults.outage == outage_kind::busy;
        respond(problemResponse(busy ? 429 : 503, busy ? "too many calls" : "platform down"));
        return true;
    }
    return false;
}

void platform_standin::hang(http_responder respond)
{
    m_loop.after(maximumHang, [respond = std::move(respond)] { respond(dropConnectionResponse()); });
}

void platform_standin::serve(const http_request &request, const http_responder &respond)
{
    const auto key = pathKey(request);
    const bool hasName = key.find('/') != std::string::npos;
    if (request.path.starts_with(hostsPath)) {
        respond(serveHosts(request));
    } else if (key.empty()) {
        respond(problemResponse(404, "no such path"));
    } else if (request.method == "POST" && !hasName) {
        create(request, key, respond);
    } else if ((request.method == "PUT" || request.method == "DELETE") && hasName) {
        change(request, key, respond);
    } else if (request.method != "GET") {
        respond(problemResponse(405, "method not allowed"));
    } else if (hasName) {
        respond(readObject(key));
    } else if (request.query.contains("watch")) {
        watch(request, key + "/", respond);
    } else {
        respond(key == hostsKind ? listHosts() : listObjects(request, key + "/"));
    }
}

http_response platform_standin::readObject(const std::string &key) const
{
    const auto *object = m_store.find(key);
    if (object == nullptr) {
        return problemResponse(404, "no such object");
    }
    return textResponse(objectText(key, object->etag, object->value, object->status));
}

static std::string specText(const json &body)
{
    const auto spec = body.value("spec", json());
    return spec.is_string() ? spec.get<std::string>() : spec.dump();
}

void platform_standin::create(const http_request &request, const std::string &kind, const http_responder &respond)
{
    const auto body = parseJson(request.body);
    const auto name = body ? body->value("/meta/name"_json_pointer, std::string()) : std::string();
    if (name.empty()) {
        respond(problemResponse(400, "meta.name is required"));
        return;
    }
    const auto key = kind + "/" + name;
    finishWrite(key, m_store.put(key, specText(*body), {.ifAbsent = true}), respond);
}

void platform_standin::change(const http_request &request, const std::string &path, const http_responder &respond)
{
    const bool status = request.method == "PUT" && path.ends_with(statusSuffix);
    const auto key = status ? path.substr(0, path.size() - statusSuffix.size()) : path;
    if (m_store.find(key) == nullptr) {
        respond(problemResponse(404, "no such object"));
        return;
    }
    if (request.method == "DELETE") {
        const auto revision = queryValue(request, "revision");
        const write_conditions conditions {.ifMatch = revision.empty() ? std::nullopt : std::optional(revision)};
        finishWrite(key, m_store.remove(key, conditions), respond);
        return;
    }
    const auto body = parseJson(request.body);
    if (!body || !body->is_object()) {
        respond(problemResponse(400, "an object must be a JSON object"));
        return;
    }
    write_conditions conditions;
    const auto revision = body->value("/meta/revision"_json_pointer, json());
    if (revision.is_number()) {
        conditions.ifMatch = std::to_string(revision.get<std::uint64_t>());
    }
    if (status) {
        finishWrite(key, m_store.putStatus(key, formatted(body->value("status", json())), conditions), respond);
        return;
    }
    finishWrite(key, m_store.put(key, specText(*body), conditions), respond);
}

void platform_standin::finishWrite(const std::string &key, const store_result &result, const http_responder &respond)
{
    m_counters.putsByPrefix[key.substr(0, key.find('/'))] += 1;
    const auto *current = m_store.find(key);
    if (const auto *error = std::get_if<write_error>(&result)) {
        const bool tooLarge = *error == write_error::too_large;
        respond(tooLarge ? problemResponse(413, "value too large") : textResponse(objectText(key, current->etag, current->value, current->status), 409));
        return;
    }
    notifyWatches();
    const bool lost = m_faults.loseAnswersNext > 0 || std::uniform_real_distribution<>()(m_random) < m_faults.loseAnswersProbability;
    if (lost) {
        m_faults.loseAnswersNext -= std::min(m_faults.loseAnswersNext, 1U);
        m_counters.lostAnswers += 1;
        respond(dropConnectionResponse());
        return;
    }
    respond(textResponse(
        current == nullptr ? objectText(key, std::get<std::string>(result), "") : objectText(key, current->etag, current->value, current->status)));
}

http_response platform_standin::listObjects(const http_request &request, const std::string &prefix) const
{
    const auto after = queryValue(request, "after");
    std::vector<std::string> items;
    bool more = false;
    for (const auto &object : m_store.list(prefix)) {
        if (!after.empty() && objectName(object.key) <= after) {
            continue;
        }
        more = items.size() == maximumPageItems;
        if (more) {
            break;
        }
        items.push_back(objectText(object.key, object.etag, object.value, object.status));
    }
    return listResponse(items, more);
}

http_response platform_standin::listResponse(const std::vector<std::string> &items, bool more) const
{
    return textResponse(
        R"({"items":)" + arrayText(items) + R"(,"has_more":)" + (more ? "true" : "false") + R"(,"current_rev":)" + std::to_string(m_store.revision()) + "}");
}

http_response platform_standin::listHosts()
{
    std::vector<std::string> items;
    for (const auto &[id, text] : m_hosts.visible(m_loop.now())) {
        auto key = hostsKind + "/";
        key += id;
        items.push_back(objectText(key, "1", text));
    }
    return listResponse(items, false);
}

http_response platform_standin::eventsResponse(const std::string &prefix, std::uint64_t after) const
{
    const auto events = m_store.eventsAfter(prefix, after);
    if (!events) {
        return problemResponse(410, "history compacted");
    }
    std::vector<std::string> list;
    for (const auto &event : *events) {
        const char *removed = event.value ? "false" : "true";
        list.push_back(
            std::string(R"({"removed":)") + removed + R"(,"object":)" + objectText(event.key, event.etag, event.value.value_or(""), event.status) + "}");
    }
    return textResponse(R"({"events":)" + arrayText(list) + R"(,"current_rev":)" + std::to_string(m_store.revision()) + "}");
}

void platform_standin::watch(const http_request &request, const std::string &prefix, const http_responder &respond)
{
    const auto after = queryNumber(request, "watch", m_store.revision());
    const auto events = m_store.eventsAfter(prefix, after);
    if (!events || !events->empty()) {
        respond(eventsResponse(prefix, after));
        return;
    }
    const auto wait = std::min(milliseconds {queryNumber(request, "wait_ms", maximumWatchWait.count())}, maximumWatchWait);
    m_watches.push_back({prefix, after, clientDomain(request), respond, 0});
    const auto entry = std::prev(m_watches.end());
    entry->timer = m_loop.after(wait, [this, entry] {
        entry->respond(eventsResponse(entry->prefix, entry->after));
        m_watches.erase(entry);
    });
    m_counters.peakWatches = std::max(m_counters.peakWatches, m_watches.size());
}

void platform_standin::notifyWatches()
{
    m_revisions[m_loop.now()] = m_store.revision();
    for (auto entry = m_watches.begin(); entry != m_watches.end();) {
        const auto events = m_store.eventsAfter(entry->prefix, entry->after);
        if (events && events->empty()) {
            ++entry;
            continue;
        }
        m_loop.cancelTimer(entry->timer);
        entry->respond(eventsResponse(entry->prefix, entry->after));
        entry = m_watches.erase(entry);
    }
}

void platform_standin::closeWatches(const std::function<bool(const pending_watch &)> &shouldClose)
{
    for (auto entry = m_watches.begin(); entry != m_watches.end();) {
        if (!shouldClose(*entry)) {
            ++entry;
            continue;
        }
        m_loop.cancelTimer(entry->timer);
        if (!respondWithOutage(entry->domain, entry->respond)) {
            entry->respond(dropConnectionResponse());
        }
        entry = m_watches.erase(entry);
    }
}

http_response platform_standin::serveHosts(const http_request &request)
{
    const auto now = m_loop.now();
    const auto id = request.path.substr(hostsPath.size());
    if (request.method == "DELETE") {
        m_hosts.remove(now, id);
        return {.status = 204};
    }
    auto host = parseJson(request.body);
    if (request.method != "PUT" || !host || !host->is_object()) {
        return problemResponse(400, "a host must be a JSON object");
    }
    (*host)["id"] = id;
    if (!host->contains("state")) {
        (*host)["state"] = "live";
    }
    m_hosts.put(now, id, host->dump());
    return jsonResponse(*host);
}

http_response platform_standin::control(const http_request &request)
{
    if (request.path == "/control/faults" && request.method == "POST") {
        return setFaults(request);
    }
    if (request.path == "/control/compact" && request.method == "POST") {
        m_store.compact();
        return jsonResponse(json::object());
    }
    if (request.path == "/control/restore" && request.method == "POST") {
        return restoreCopy(request);
    }
    if (request.path == "/control/counters" && request.method == "GET") {
        return countersResponse();
    }
    if (request.path == "/control/reset" && request.method == "POST") {
        m_counters = {};
        return jsonResponse(json::object());
    }
    if (request.path.starts_with(hostsPath)) {
        return serveHosts(request);
    }
    if (request.path.starts_with(controlObjectsPath)) {
        return controlObject(request);
    }
    return problemResponse(404, "no such path");
}

// Lets tests write and read objects without the conditional writes of the published API.
http_response platform_standin::controlObject(const http_request &request)
{
    const auto key = storedKey(request.path.substr(controlObjectsPath.size()));
    if (request.method == "PUT") {
        m_store.put(key, request.body, {});
        notifyWatches();
        return jsonResponse(json::object());
    }
    if (request.method == "DELETE") {
        m_store.remove(key, {});
        notifyWatches();
        return jsonResponse(json::object());
    }
    const bool status = key.ends_with(statusSuffix);
    const auto *object = m_store.find(status ? key.substr(0, key.size() - statusSuffix.size()) : key);
    if (object == nullptr) {
        return problemResponse(404, "no such object");
    }
    return {.body = status ? object->status : object->value};
}

static outage_kind parseOutage(const json &value)
{
    if (value.is_boolean()) {
        return value.get<bool>() ? outage_kind::reset : outage_kind::none;
    }
    if (value == "reset") {
        return outage_kind::reset;
    }
    if (value == "unavailable") {
        return outage_kind::unavailable;
    }
    if (value == "busy") {
        return outage_kind::busy;
    }
    return value == "hang" ? outage_kind::hang : outage_kind::none;
}

http_response platform_standin::setFaults(const http_request &request)
{
    const auto body = parseJson(request.body);
    if (!body || !body->is_object()) {
        return problemResponse(400, "faults must be a JSON object");
    }
    if (body->contains("down")) {
        m_faults.outage = parseOutage(body->at("down"));
    }
    readField(*body, "slow_ms", m_faults.slowMs);
    readField(*body, "lose_answers_next", m_faults.loseAnswersNext);
    readField(*body, "lose_answers_probability", m_faults.loseAnswersProbability);
    readField(*body, "cut_domains", m_faults.cutDomains);
    if (body->contains("seed")) {
        m_random.seed(body->at("seed").get<std::uint64_t>());
    }
    if (body->contains("host_lag_ms")) {
        m_hosts.setLag(milliseconds {body->at("host_lag_ms").get<std::int64_t>()});
    }
    if (body->contains("stale_list")) {
        m_hosts.setFrozen(m_loop.now(), body->at("stale_list").get<bool>());
    }
    closeWatches([this](const pending_watch &entry) { return m_faults.outage != outage_kind::none || m_faults.cutDomains.contains(entry.domain); });
    return jsonResponse(json::object());
}

// The store is away from now on and comes back as it was some time ago, or at a revision.
http_response platform_standin::restoreCopy(const http_request &request)
{
    const auto body = parseJson(request.body);
    if (!body || !body->is_object()) {
        return problemResponse(400, "a JSON object is expected");
    }
    const milliseconds age {body->value("age_ms", std::uint64_t {0})};
    const milliseconds away {body->value("away_ms", std::uint64_t {0})};
    const auto later = m_revisions.upper_bound(m_loop.now() - age);
    const auto revision = body->value("revision", later == m_revisions.begin() ? std::uint64_t {0} : std::prev(later)->second);
    std::erase_if(m_revisions, [&](const auto &entry) { return entry.second > revision; });
    m_store.restore(revision);
    m_faults.outage = outage_kind::reset;
    closeWatches([](const pending_watch &) { return true; });
    m_loop.after(away, [this] { m_faults.outage = outage_kind::none; });
    return jsonResponse({{"era", m_store.era()}, {"revision", revision}});
}

http_response platform_standin::countersResponse() const
{
    json calls {{"get", 0}, {"put", 0}, {"delete", 0}, {"list", 0}, {"watch", 0}, {"hosts", 0}};
    for (const auto &[kind, count] : m_counters.calls) {
        calls[kind] = count;
    }
    return jsonResponse({
        {"calls", calls},
        {"puts_by_prefix", m_counters.putsByPrefix},
        {"calls_by_domain", m_counters.callsByDomain},
        {"bytes_in", m_counters.bytesIn},
        {"bytes_out", m_counters.bytesOut},
        {"lost_answers", m_counters.lostAnswers},
        {"watches_waiting", m_watches.size()},
        {"watches_most", m_counters.peakWatches},
        {"revision", m_store.revision()},
    });
}

} // namespace daisystile
