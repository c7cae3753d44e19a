#include "backend_fleet_control.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

using nlohmann::json;

static standin_spec parseSpec(const json &object)
{
    standin_spec spec;
    object.at("id").get_to(spec.id);
    takeField(object, "service", spec.service);
    takeField(object, "domain", spec.domain);
    takeField(object, "slots", spec.slots);
    takeField(object, "connections", spec.connections);
    takeField(object, "latencyMs", spec.latencyMs);
    takeField(object, "latencySigma", spec.latencySigma);
    takeField(object, "snapshots", spec.snapshots);
    takeField(object, "mapVersion", spec.mapVersion);
    spec.execute = object.value("kind", "query") == "execute";
    takeField(object, "shards", spec.shards[spec.mapVersion]);
    return spec;
}

static void takeFaults(const json &object, standin_faults &faults)
{
    takeField(object, "straggler", faults.straggler);
    takeField(object, "warm_up_ms", faults.warmUpMs);
    takeField(object, "cold_capacity", faults.coldCapacity);
    takeField(object, "cold_factor", faults.coldFactor);
    takeField(object, "collapse_ms", faults.collapseMs);
    takeField(object, "restart_ms", faults.restartMs);
    takeField(object, "crash_marker", faults.crashMarker);
    takeField(object, "draining", faults.draining);
    takeField(object, "stalled", faults.stalled);
    takeField(object, "shed_probability", faults.shedProbability);
    takeField(object, "reset_before_next", faults.resetBeforeNext);
    takeField(object, "reset_after_next", faults.resetAfterNext);
    takeField(object, "reset_after_probability", faults.resetAfterProbability);
    takeField(object, "late_ms", faults.lateMs);
    takeField(object, "late_probability", faults.lateProbability);
    takeField(object, "foreign_probability", faults.foreignProbability);
    takeField(object, "answer_newest", faults.answerNewest);
    takeField(object, "lie", faults.lie);
    takeField(object, "load_lag_ms", faults.loadLagMs);
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
        {"most_running", counts.mostRunning},
        {"most_running_cold", counts.mostRunningCold},
        {"most_connections", counts.mostConnections},
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
    return guarded([this](const http_request &request) { return control(request); });
}

http_response backend_fleet_control::control(const http_request &request)
{
    const auto body = parseJson(request.body.empty() ? "{}" : request.body);
    if (!body) {
        return problemResponse(400, "the body is no JSON");
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
    for (auto *server : chosen(body)) {
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

static bool names(const json &body, const char *field, const std::string &name)
{
    const auto found = body.find(field);
    return found != body.end() && std::find(found->begin(), found->end(), name) != found->end();
}

backend_fleet_control::standin_list backend_fleet_control::chosen(const json &body) const
{
    const bool all = !body.contains("servers") && !body.contains("domains") && !body.contains("services");
    standin_list servers;
    for (const auto &[id, server] : m_servers) {
        const auto &spec = server->model().spec;
        if (all || names(body, "servers", id) || names(body, "domains", spec.domain) || names(body, "services", spec.service)) {
            servers.push_back(server.get());
        }
    }
    return servers;
}

http_response backend_fleet_control::setFaults(const json &body)
{
    const auto servers = chosen(body);
    const auto &set = body.at("set");
    for (auto *server : servers) {
        auto &model = server->model();
        const bool wasDraining = model.faults.draining;
        if (set.value("clear", false)) {
            model.faults = {};
        }
        takeFaults(set, model.faults);
        if (model.faults.draining && !wasDraining) {
            model.mark(m_loop.now());
        }
        if (set.value("cold", false)) {
            model.turnCold(m_loop.now());
        }
        if (set.value("crash", false)) {
            server->crash();
        }
        if (!model.faults.stalled && !model.collapsed(m_loop.now())) {
            server->dropHanging();
        }
    }
    return jsonResponse({{"servers", servers.size()}});
}

http_response backend_fleet_control::setPlacement(const json &body)
{
    const auto servers = chosen(body);
    for (auto *server : servers) {
        auto &spec = server->model().spec;
        takeField(body, "mapVersion", spec.mapVersion);
        takeField(body, "shards", spec.shards[spec.mapVersion]);
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
    const auto servers = chosen(body);
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
        server->noteConnections();
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
