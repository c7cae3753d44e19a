#include "backend_server_standin.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <cmath>
#include <sys/socket.h>
#include <unistd.h>

namespace daisystile {

using nlohmann::json;

static constexpr std::uint32_t resultsPerShard = 3;
// Beyond what the server bears, so that too many are counted rather than left waiting.
static constexpr unsigned extraConnections = 1000;

static const std::string shardsPath = "/shards/";
static const std::string requestsPath = "/requests/";

static int holdPort(const ip_address &address)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(handle, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &socketAddress.sin_addr);
    if (bind(handle, reinterpret_cast<sockaddr *>(&socketAddress), sizeof socketAddress) != 0) {
        DAISYSTILE_LOG(WARNING, "standin") << "Port can't be held." << field("address", toString(address));
    }
    return handle;
}

static std::optional<std::int64_t> numberHeader(const http_request &request, const std::string &name)
{
    const auto text = request.header(name);
    if (!text) {
        return std::nullopt;
    }
    return std::strtoll(text->c_str(), nullptr, 10);
}

backend_server_standin::backend_server_standin(reactor &loop, standin_spec spec, std::uint64_t seed, execution_records &records)
    : m_loop(loop),
      m_model(std::move(spec), seed),
      m_records(records),
      m_address {"127.0.0.1", 0}
{
    listen();
    m_address = m_server->address();
    m_portHolder = holdPort(m_address);
}

backend_server_standin::~backend_server_standin()
{
    *m_alive = false;
    for (auto &work : m_work) {
        m_loop.cancelTimer(work.timer);
    }
    close(m_portHolder);
}

ip_address backend_server_standin::address() const
{
    return m_address;
}

backend_server_model &backend_server_standin::model()
{
    return m_model;
}

void backend_server_standin::listen()
{
    const http_server_limits limits {.connections = m_model.spec.connections + extraConnections};
    m_server = listenOrExit(
        m_loop, toString(m_address), [this](const http_request &request, const http_responder &respond) { receive(request, respond); }, limits);
}

void backend_server_standin::noteConnections()
{
    if (m_server) {
        m_model.counts.mostConnections = std::max(m_model.counts.mostConnections, m_server->openConnections());
    }
}

void backend_server_standin::crash()
{
    // The server can't be taken down from within its own handler.
    m_loop.post([this, alive = m_alive] {
        if (!*alive || !m_server) {
            return;
        }
        for (auto &work : m_work) {
            m_loop.cancelTimer(work.timer);
        }
        m_work.clear();
        m_server.reset();
        m_loop.after(milliseconds {m_model.faults.restartMs}, [this, alive] {
            if (*alive) {
                m_model.restarted(m_loop.now());
                listen();
            }
        });
    });
}

void backend_server_standin::dropHanging()
{
    for (auto work = m_work.begin(); work != m_work.end();) {
        const auto next = std::next(work);
        if (work->timer == 0) {
            finish(work, {}, true);
        }
        work = next;
    }
}

void backend_server_standin::receive(const http_request &request, const http_responder &respond)
{
    noteConnections();
    if (request.method == "POST" && request.path.starts_with(shardsPath) && request.path.ends_with("/search")) {
        begin(request, respond, static_cast<std::uint32_t>(std::strtoul(request.path.c_str() + shardsPath.size(), nullptr, 10)));
    } else if (request.method == "POST" && request.path == "/execute") {
        begin(request, respond, std::nullopt);
    } else if (request.method == "DELETE" && request.path.starts_with(requestsPath)) {
        respond(cancel(request.path.substr(requestsPath.size())));
    } else if (request.path == "/health") {
        respond(health());
    } else if (request.path == "/load") {
        respond(load());
    } else {
        respond(problemResponse(404, "no such path", "not_run"));
    }
}

void backend_server_standin::begin(const http_request &request, const http_responder &respond, std::optional<std::uint32_t> shard)
{
    standin_work work {.shard = shard, .snapshot = request.header("snapshot").value_or(""), .deadlineMs = numberHeader(request, "deadline")};
    if (const auto version = numberHeader(request, "shard-map-version")) {
        work.mapVersion = static_cast<std::uint64_t>(*version);
    }
    const auto &marker = m_model.faults.crashMarker;
    work.marked = !marker.empty() && request.body.find(marker) != std::string::npos;
    const auto plan = m_model.begin(work, m_loop.now());
    switch (plan.verdict) {
    case work_verdict::runs:
        run(request, respond, plan, shard);
        return;
    case work_verdict::hangs:
        recordStart(request);
        m_work.push_back({request.header("request-id").value_or(""), respond, 0});
        m_loop.after(milliseconds {m_model.faults.collapseMs}, [this, alive = m_alive] {
            if (*alive && !m_model.faults.stalled && !m_model.collapsed(m_loop.now())) {
                dropHanging();
            }
        });
        return;
    case work_verdict::crashes:
        recordStart(request);
        crash();
        return;
    case work_verdict::drops_before:
        respond(droppedConnection());
        return;
    default:
        respond(refuse(plan.verdict));
    }
}

void backend_server_standin::run(const http_request &request, const http_responder &respond, const work_plan &plan, std::optional<std::uint32_t> shard)
{
    recordStart(request);
    m_work.push_back({request.header("request-id").value_or(""), respond, 0});
    const auto work = std::prev(m_work.end());
    const auto deadline = numberHeader(request, "deadline");
    const double serviceMs = plan.serviceMs + plan.extraMs;
    // An execute request that has started runs to its end.
    if (shard && deadline && serviceMs > static_cast<double>(*deadline)) {
        schedule(work, static_cast<double>(*deadline), [this, work] {
            m_model.counts.pastDeadline += 1;
            finish(work, problemResponse(504, "deadline passed", "unknown"), false);
        });
        return;
    }
    schedule(work, serviceMs, [this, work, request, plan, shard] {
        recordFinish(request);
        m_model.counts.answered += 1;
        finish(work, answer(request, plan, shard), plan.dropAfter);
    });
}

// The loop counts whole milliseconds; what is cut off is owed to the next request, so that the mean is right.
void backend_server_standin::schedule(work_list::iterator work, double delayMs, std::function<void()> callback)
{
    const double whole = std::floor(delayMs + m_owedMs);
    m_owedMs += delayMs - whole;
    work->timer = m_loop.after(milliseconds {static_cast<milliseconds::rep>(whole)}, std::move(callback));
}

void backend_server_standin::finish(work_list::iterator work, http_response response, bool drop)
{
    const auto respond = std::move(work->respond);
    m_work.erase(work);
    m_model.ended();
    respond(drop ? droppedConnection() : std::move(response));
}

static json resultsOf(const std::string &query, std::uint32_t shard, const std::string &snapshot)
{
    auto results = json::array();
    const auto queryHash = stableHash(query);
    const auto snapshotHash = stableHash(snapshot, queryHash);
    for (std::uint32_t i = 0; i < resultsPerShard; ++i) {
        const auto hash = stableHash(std::to_string(shard * resultsPerShard + i), snapshotHash);
        results.push_back({{"id", "s" + std::to_string(shard) + "-" + std::to_string(hash % 1000000)},
            {"score", static_cast<double>(hash % 10007) / 10007.0},
            {"query_hash", queryHash}});
    }
    return results;
}

http_response backend_server_standin::answer(const http_request &request, const work_plan &plan, std::optional<std::uint32_t> shard)
{
    json body {{"snapshot", plan.snapshot}, {"server", m_model.spec.id}, {"request_id", request.header("request-id").value_or("")}};
    if (shard) {
        body["map_version"] = plan.mapVersion;
        body["shard"] = *shard;
        body["results"] = resultsOf(request.body, *shard, plan.snapshot);
    } else {
        const auto key = request.header("idempotency-key").value_or("");
        body["idempotency_key"] = key;
        body["result"] = {{"entry", stableHash(key + request.body)}};
    }
    auto response = jsonResponse(body);
    response.headers = {{"Request-Id", request.header("request-id").value_or("")}, {"Snapshot", plan.snapshot}};
    if (shard) {
        response.headers.push_back({"Shard-Map-Version", std::to_string(plan.mapVersion)});
    }
    std::swap(response, m_lastAnswer);
    return plan.foreign && response.status != 0 ? response : m_lastAnswer;
}

http_response backend_server_standin::refuse(work_verdict verdict) const
{
    switch (verdict) {
    case work_verdict::snapshot_not_held: {
        auto response = problemResponse(409, "snapshot not held", "not_run");
        response.headers.push_back({"Snapshot", m_model.spec.snapshots.empty() ? std::string() : m_model.spec.snapshots.back()});
        return response;
    }
    case work_verdict::shard_not_here: {
        auto response = problemResponse(421, "shard not here", "not_run");
        response.headers.push_back({"Shard-Map-Version", std::to_string(m_model.spec.mapVersion)});
        return response;
    }
    case work_verdict::draining:
        return problemResponse(503, "draining", "not_run");
    case work_verdict::too_late:
        return problemResponse(503, "deadline passed", "not_run");
    default:
        return problemResponse(503, "shed", "not_run");
    }
}

http_response backend_server_standin::cancel(const std::string &requestId)
{
    std::uint64_t count = 0;
    for (auto work = m_work.begin(); work != m_work.end();) {
        const auto next = std::next(work);
        if (work->requestId == requestId) {
            m_loop.cancelTimer(work->timer);
            count += 1;
            finish(work, problemResponse(499, "cancelled", "unknown"), false);
        }
        work = next;
    }
    m_model.counts.cancelled += count;
    return jsonResponse({{"cancelled", count}});
}

http_response backend_server_standin::health()
{
    const auto now = m_loop.now();
    const bool well = m_model.faults.lie || !(m_model.collapsed(now) || m_model.faults.draining);
    return jsonResponse({{"state", well ? "healthy" : m_model.faults.draining ? "draining" : "collapsed"}}, well ? 200 : 503);
}

http_response backend_server_standin::load()
{
    const auto now = m_loop.now();
    if (now - m_shownAt >= milliseconds {m_model.faults.loadLagMs}) {
        m_shownAt = now;
        m_shownLoad = m_model.running();
    }
    return jsonResponse({{"running", m_model.faults.lie ? 0 : m_shownLoad}, {"slots", m_model.spec.slots}});
}

void backend_server_standin::recordStart(const http_request &request) const
{
    const auto key = request.header("idempotency-key");
    if (!m_model.spec.execute && !key) {
        m_records.searches += 1;
        return;
    }
    m_records.executes += 1;
    auto &execution = m_records.executions[key.value_or("request:" + request.header("request-id").value_or(""))];
    execution.started += 1;
    execution.servers.push_back(m_model.spec.id);
}

void backend_server_standin::recordFinish(const http_request &request) const
{
    const auto key = request.header("idempotency-key");
    if (m_model.spec.execute || key) {
        m_records.executions[key.value_or("request:" + request.header("request-id").value_or(""))].finished += 1;
    }
}

} // namespace daisystile
