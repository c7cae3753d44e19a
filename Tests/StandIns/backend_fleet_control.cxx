#include "backend_fleet_control.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

using nlohmann::json;

static standin_spec parseSpec(const json &object)
{
    standin_spec spec;
    object.at("id").get_to(spec.id);
    readField(object, "service", spec.service);
    readField(object, "domain", spec.domain);
    readField(object, "slots", spec.slots);
    readField(object, "connections", spec.connections);
    readField(object, "latencyMs", spec.latencyMs);
    readField(object, "latencySigma", spec.latencySigma);
    readField(object, "snapshots", spec.snapshots);
    readField(object, "mapVersion", spec.mapVersion);
    spec.execute = object.value("kind", "query") == "execute";
    readField(object, "shards", spec.shards[spec.mapVersion]);
    return spec;
}

static void readFaults(const json &object, standin_faults &faults)
{
    readField(object, "straggler", faults.stragglerFactor);
    readField(object, "warm_up_ms", faults.warmUpMs);
    readField(object, "cold_capacity", faults.coldCapacity);
    readField(object, "cold_factor", faults.coldFactor);
    readField(object, "collapse_ms", faults.collapseMs);
    readField(object, "restart_ms", faults.restartMs);
    readField(object, "crash_marker", faults.crashMarker);
    readField(object, "draining", faults.draining);
    readField(object, "stalled", faults.stalled);
    readField(object, "shed_probability", faults.shedProbability);
    readField(object, "reset_before_next", faults.resetBeforeNext);
    readField(object, "reset_after_next", faults.resetAfterNext);
    readField(object, "reset_after_probability", faults.resetAfterProbability);
    readField(object, "late_ms", faults.lateMs);
    readField(object, "late_probability", faults.lateProbability);
    readField(object, "foreign_probability", faults.previousResponseProbability);
    readField(object, "answer_newest", faults.answerNewest);
    readField(object, "lie", faults.reportHealthyAndIdle);
    readField(object, "load_lag_ms", faults.loadLagMs);
}

static json toJson(const standin_counts &counts)
{
    return {
        {"received", counts.received},
        {"started", counts.started},
        {"answered", counts.answered},
        {"cancelled", counts.cancelled},
        {"shed", counts.shed},
        {"over_capacity_while_cold", counts.overCapacityWhileCold},
        {"collapses", counts.collapses},
        {"crashes", counts.crashes},
        {"restarts", counts.restarts},
        {"resets", counts.resets},
        {"snapshot_not_held", counts.snapshotNotHeld},
        {"shard_not_here", counts.shardNotHere},
        {"past_deadline", counts.pastDeadline},
        {"most_running", counts.peakRunning},
        {"most_running_cold", counts.peakRunningCold},
        {"most_connections", counts.peakConnections},
        {"received_after_mark", counts.receivedAfterMark},
        {"last_after_mark_ms", counts.lastAfterMarkMs},
    };
}

backend_fleet_control::backend_fleet_control(reactor &loop, std::uint64_t seed)
    : m_loop(loop),
      m_seed(seed)
{
}

http_handler backend_fleet_control::controlApi()
{
    return handleJsonErrors([this](const http_request &request) { return control(request); });
}

http_response backend_fleet_control::control(const http_request &request)
{
    const auto body = parseJson(request.body.empty() ? "{}" : request.body);
    if (!body) {
        return problemResponse(400, "request body is not valid JSON");
    }
    const auto call = request.method + " " + request.path;
    if (call == "POST /servers") {
        return createServers(*body);
    }
    if (call == "DELETE /servers") {
        return removeServers(*body);
    }
    if (call == "GET /servers") {
        return listServers();
    }
    if (call == "POST /control/faults") {
        return setFaults(*body);
    }
    if (call == "POST /control/placement") {
        return setPlacement(*body);
    }
    if (call == "POST /control/mark") {
        return setMark(*body);
    }
    if (call == "GET /control/records") {
        return records();
    }
    if (call == "POST /control/reset") {
        return resetRecords();
    }
    return problemResponse(404, "no such path");
}

http_response backend_fleet_control::createServers(const json &specs)
{
    std::vector<standin_spec> parsed;
    for (const auto &object : specs) {
        parsed.push_back(parseSpec(object));
    }
    auto created = json::array();
    for (auto &spec : parsed) {
        const auto id = spec.id;
        const auto seed = stableHash(id, m_seed);
        m_servers.erase(id);
        const auto &server = m_servers[id] = std::make_unique<backend_server_standin>(m_loop, std::move(spec), seed, m_records);
        created.push_back({{"id", id}, {"address", toString(server->address())}});
    }
    return jsonResponse(created);
}

http_response backend_fleet_control::removeServers(const json &body)
{
    for (auto *server : selectedServers(body)) {
        m_servers.erase(std::string(server->model().spec.id));
    }
    return jsonResponse(json::object());
}

http_response backend_fleet_control::listServers() const
{
    auto list = json::array();
    for (const auto &[id, server] : m_servers) {
        const auto &spec = server->model().spec;
        list.push_back({{"id", id},
            {"address", toString(server->address())},
            {"service", spec.service},
            {"domain", spec.domain},
            {"kind", spec.execute ? "execute" : "query"},
            {"slots", spec.slots},
            {"connections", spec.connections}});
    }
    return jsonResponse(list);
}

static bool listContains(const json &body, const char *field, const std::string &name)
{
    const auto found = body.find(field);
    return found != body.end() && std::find(found->begin(), found->end(), name) != found->end();
}

backend_fleet_control::server_list backend_fleet_control::selectedServers(const json &body) const
{
    const bool all = !body.contains("servers") && !body.contains("domains") && !body.contains("services");
    server_list servers;
    for (const auto &[id, server] : m_servers) {
        const auto &spec = server->model().spec;
        if (all || listContains(body, "servers", id) || listContains(body, "domains", spec.domain) || listContains(body, "services", spec.service)) {
            servers.push_back(server.get());
        }
    }
    return servers;
}

http_response backend_fleet_control::setFaults(const json &body)
{
    const auto servers = selectedServers(body);
    const auto &set = body.at("set");
    for (auto *server : servers) {
        auto &model = server->model();
        const bool wasDraining = model.faults.draining;
        if (set.value("clear", false)) {
            model.faults = {};
        }
        readFaults(set, model.faults);
        if (model.faults.draining && !wasDraining) {
            model.mark(m_loop.now());
        }
        if (set.value("cold", false)) {
            model.startWarmUp(m_loop.now());
        }
        if (set.value("crash", false)) {
            server->crash();
        }
        if (!model.faults.stalled && !model.collapsed(m_loop.now())) {
            server->dropHangingRequests();
        }
    }
    return jsonResponse({{"servers", servers.size()}});
}

http_response backend_fleet_control::setPlacement(const json &body)
{
    const auto servers = selectedServers(body);
    for (auto *server : servers) {
        auto &spec = server->model().spec;
        readField(body, "mapVersion", spec.mapVersion);
        readField(body, "shards", spec.shards[spec.mapVersion]);
        for (const auto &snapshot : body.value("addSnapshots", std::vector<std::string>())) {
            spec.snapshots.push_back(snapshot);
        }
        for (const auto &snapshot : body.value("dropSnapshots", std::vector<std::string>())) {
            std::erase(spec.snapshots, snapshot);
        }
        for (const auto version : body.value("dropMapVersions", std::vector<std::uint64_t>())) {
            spec.shards.erase(version);
        }
    }
    return jsonResponse({{"servers", servers.size()}});
}

http_response backend_fleet_control::setMark(const json &body)
{
    const auto servers = selectedServers(body);
    for (auto *server : servers) {
        server->model().mark(m_loop.now());
    }
    return jsonResponse({{"servers", servers.size()}});
}

http_response backend_fleet_control::records() const
{
    const auto now = m_loop.now();
    auto servers = json::object();
    for (const auto &[id, server] : m_servers) {
        server->updatePeakConnections();
        auto entry = toJson(server->model().counts);
        entry["service"] = server->model().spec.service;
        entry["domain"] = server->model().spec.domain;
        entry["running"] = server->model().running();
        entry["cold"] = server->model().cold(now);
        servers[id] = std::move(entry);
    }
    auto executions = json::object();
    for (const auto &[key, execution] : m_records.executions) {
        executions[key] = {{"started", execution.started}, {"finished", execution.finished}, {"servers", execution.servers}};
    }
    return jsonResponse({{"servers", servers}, {"executions", executions}, {"searches", m_records.searches}, {"executes", m_records.executes}});
}

http_response backend_fleet_control::resetRecords()
{
    m_records = {};
    for (const auto &[id, server] : m_servers) {
        server->model().counts = {};
    }
    return jsonResponse(json::object());
}

} // namespace daisystile
