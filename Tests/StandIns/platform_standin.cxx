#include "platform_standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

using nlohmann::json;

static constexpr milliseconds longestWatch {10000};
// A hanging request lets go of its connection in the end.
static constexpr milliseconds longestHang {30000};

static const std::string objectsPath = "/objects/";
static const std::string hostsPath = "/hosts/";

static std::string callKind(const http_request &request)
{
    if (request.path.starts_with(objectsPath)) {
        return request.method == "GET" ? "get" : request.method == "PUT" ? "put" : "delete";
    }
    if (request.path == "/objects") {
        return "list";
    }
    return request.path == "/watch" ? "watch" : "hosts";
}

static std::string queryValue(const http_request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

static std::uint64_t queryNumber(const http_request &request, const std::string &name, std::uint64_t otherwise)
{
    const auto text = queryValue(request, name);
    return text.empty() ? otherwise : std::strtoull(text.c_str(), nullptr, 10);
}

platform_standin::platform_standin(reactor &loop)
    : m_loop(loop)
{
}

http_handler platform_standin::objectApi()
{
    return [this](http_request request, http_responder respond) {
        receive(std::move(request), std::move(respond));
    };
}

http_handler platform_standin::controlApi()
{
    return guarded([this](const http_request &request) { return control(request); });
}

void platform_standin::receive(http_request request, http_responder respond)
{
    const auto domain = request.header("failure-domain").value_or("");
    m_counters.calls[callKind(request)] += 1;
    m_counters.callsByDomain[domain] += 1;
    m_counters.bytesIn += request.body.size();
    if (unreachable(domain, respond)) {
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

bool platform_standin::unreachable(const std::string &domain, const http_responder &respond)
{
    if (m_faults.cutDomains.contains(domain) || m_faults.outage == outage_kind::hang) {
        hang(respond);
        return true;
    }
    if (m_faults.outage == outage_kind::reset) {
        respond(droppedConnection());
        return true;
    }
    if (m_faults.outage == outage_kind::unavailable) {
        respond(problemResponse(503, "platform down"));
        return true;
    }
    return false;
}

void platform_standin::hang(http_responder respond)
{
    m_loop.after(longestHang, [respond = std::move(respond)] { respond(droppedConnection()); });
}

void platform_standin::serve(const http_request &request, const http_responder &respond)
{
    if (request.path.starts_with(objectsPath)) {
        serveObject(request, respond);
    } else if (request.path == "/objects" && request.method == "GET") {
        respond(listObjects(request));
    } else if (request.path == "/watch" && request.method == "GET") {
        watch(request, respond);
    } else if (request.path == "/hosts" || request.path.starts_with(hostsPath)) {
        respond(serveHosts(request));
    } else {
        respond(problemResponse(404, "no such path"));
    }
}

void platform_standin::serveObject(const http_request &request, const http_responder &respond)
{
    const auto key = request.path.substr(objectsPath.size());
    if (request.method == "PUT" || request.method == "DELETE") {
        write(request, key, respond);
        return;
    }
    if (request.method != "GET") {
        respond(problemResponse(405, "method not allowed"));
        return;
    }
    const auto *object = m_store.find(key);
    if (object == nullptr) {
        respond(problemResponse(404, "no such object"));
        return;
    }
    respond({.body = object->value, .contentType = "application/octet-stream", .headers = {{"ETag", object->etag}}});
}

void platform_standin::write(const http_request &request, const std::string &key, const http_responder &respond)
{
    write_conditions conditions {.ifMatch = request.header("if-match"), .ifAbsent = request.header("if-none-match") == "*"};
    if (request.method == "PUT") {
        m_counters.putsByPrefix[key.substr(0, key.find('/'))] += 1;
    }
    const auto result = request.method == "PUT" ? m_store.put(key, request.body, conditions) : m_store.remove(key, conditions);
    if (const auto *refusal = std::get_if<write_refusal>(&result)) {
        const bool tooLarge = *refusal == write_refusal::too_large;
        auto response = problemResponse(tooLarge ? 413 : 412, tooLarge ? "value too large" : "precondition failed");
        if (const auto *current = m_store.find(key)) {
            response.headers.push_back({"ETag", current->etag});
        }
        respond(std::move(response));
        return;
    }
    const auto &etag = std::get<std::string>(result);
    wakeWatches();
    const bool lost = m_faults.loseAnswersNext > 0 || std::uniform_real_distribution<>()(m_random) < m_faults.loseAnswersProbability;
    if (lost) {
        m_faults.loseAnswersNext -= std::min(m_faults.loseAnswersNext, 1U);
        m_counters.lostAnswers += 1;
        respond(droppedConnection());
        return;
    }
    auto response = jsonResponse({{"key", key}, {"etag", etag}, {"revision", m_store.revision()}});
    response.headers.push_back({"ETag", etag});
    respond(std::move(response));
}

http_response platform_standin::listObjects(const http_request &request) const
{
    auto objects = json::array();
    for (const auto &object : m_store.list(queryValue(request, "prefix"))) {
        objects.push_back({{"key", object.key}, {"etag", object.etag}, {"value", object.value}});
    }
    auto response = jsonResponse(objects);
    response.headers.push_back({"Revision", std::to_string(m_store.revision())});
    return response;
}

http_response platform_standin::eventsResponse(const std::string &prefix, std::uint64_t after) const
{
    const auto events = m_store.eventsAfter(prefix, after);
    if (!events) {
        return problemResponse(410, "history compacted");
    }
    auto list = json::array();
    for (const auto &event : *events) {
        json entry {{"revision", event.revision}, {"key", event.key}, {"etag", event.etag}};
        if (event.value) {
            entry["value"] = *event.value;
        } else {
            entry["deleted"] = true;
        }
        list.push_back(std::move(entry));
    }
    return jsonResponse({{"events", std::move(list)}, {"revision", m_store.revision()}});
}

void platform_standin::watch(const http_request &request, const http_responder &respond)
{
    const auto prefix = queryValue(request, "prefix");
    const auto after = queryNumber(request, "after", m_store.revision());
    const auto events = m_store.eventsAfter(prefix, after);
    if (!events || !events->empty()) {
        respond(eventsResponse(prefix, after));
        return;
    }
    const auto wait = std::min(milliseconds {queryNumber(request, "wait_ms", longestWatch.count())}, longestWatch);
    m_watches.push_back({prefix, after, request.header("failure-domain").value_or(""), respond, 0});
    const auto entry = std::prev(m_watches.end());
    entry->timer = m_loop.after(wait, [this, entry] {
        entry->respond(eventsResponse(entry->prefix, entry->after));
        m_watches.erase(entry);
    });
    m_counters.mostWatches = std::max(m_counters.mostWatches, m_watches.size());
}

void platform_standin::wakeWatches()
{
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

void platform_standin::endWatches(const std::function<bool(const waiting_watch &)> &chosen)
{
    for (auto entry = m_watches.begin(); entry != m_watches.end();) {
        if (!chosen(*entry)) {
            ++entry;
            continue;
        }
        m_loop.cancelTimer(entry->timer);
        if (!unreachable(entry->domain, entry->respond)) {
            entry->respond(droppedConnection());
        }
        entry = m_watches.erase(entry);
    }
}

http_response platform_standin::serveHosts(const http_request &request)
{
    const auto now = m_loop.now();
    if (request.path == "/hosts" && request.method == "GET") {
        auto hosts = json::array();
        for (const auto &[id, text] : m_hosts.seen(now)) {
            hosts.push_back(json::parse(text));
        }
        return jsonResponse(hosts);
    }
    if (!request.path.starts_with(hostsPath)) {
        return problemResponse(405, "method not allowed");
    }
    const auto id = request.path.substr(hostsPath.size());
    if (request.method == "DELETE") {
        m_hosts.remove(now, id);
        return {.status = 204};
    }
    auto host = parseJson(request.body);
    if (request.method != "PUT" || !host || !host->is_object()) {
        return problemResponse(400, "a host is a JSON object");
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
    if (request.path == "/control/counters" && request.method == "GET") {
        return countersResponse();
    }
    if (request.path == "/control/reset" && request.method == "POST") {
        m_counters = {};
        return jsonResponse(json::object());
    }
    if (request.path == "/hosts" || request.path.starts_with(hostsPath)) {
        return serveHosts(request);
    }
    return problemResponse(404, "no such path");
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
    return value == "hang" ? outage_kind::hang : outage_kind::none;
}

http_response platform_standin::setFaults(const http_request &request)
{
    const auto body = parseJson(request.body);
    if (!body || !body->is_object()) {
        return problemResponse(400, "faults are a JSON object");
    }
    if (body->contains("down")) {
        m_faults.outage = parseOutage(body->at("down"));
    }
    takeField(*body, "slow_ms", m_faults.slowMs);
    takeField(*body, "lose_answers_next", m_faults.loseAnswersNext);
    takeField(*body, "lose_answers_probability", m_faults.loseAnswersProbability);
    takeField(*body, "cut_domains", m_faults.cutDomains);
    if (body->contains("seed")) {
        m_random.seed(body->at("seed").get<std::uint64_t>());
    }
    if (body->contains("host_lag_ms")) {
        m_hosts.setLag(milliseconds {body->at("host_lag_ms").get<std::int64_t>()});
    }
    if (body->contains("stale_list")) {
        m_hosts.setFrozen(m_loop.now(), body->at("stale_list").get<bool>());
    }
    endWatches([this](const waiting_watch &entry) { return m_faults.outage != outage_kind::none || m_faults.cutDomains.contains(entry.domain); });
    return jsonResponse(json::object());
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
        {"watches_most", m_counters.mostWatches},
        {"revision", m_store.revision()},
    });
}

} // namespace daisystile
