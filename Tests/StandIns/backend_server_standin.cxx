#include "backend_server_standin.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <cmath>
#include <sys/socket.h>
#include <unistd.h>

namespace daisystile {

using nlohmann::json;

static constexpr std::uint32_t resultsPerShard = 3;
// Accepted above the configured limit, so that excess connections are counted rather than left in the accept queue.
static constexpr unsigned extraConnections = 1000;

static const std::string shardsPath = "/shards/";
static const std::string requestsPath = "/requests/";

static int reservePort(const ip_address &address)
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
        DAISYSTILE_LOG(WARNING, "standin") << "Failed to reserve the port." << field("address", toString(address));
    }
    return handle;
}

static std::optional<std::int64_t> integerHeader(const http_request &request, const std::string &name)
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
    m_portReservation = reservePort(m_address);
}

backend_server_standin::~backend_server_standin()
{
    *m_alive = false;
    for (auto &entry : m_requests) {
        m_loop.cancelTimer(entry.timer);
    }
    close(m_portReservation);
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

void backend_server_standin::updatePeakConnections()
{
    if (m_server) {
        m_model.counts.peakConnections = std::max(m_model.counts.peakConnections, m_server->openConnections());
    }
}

void backend_server_standin::crash()
{
    // Deferred, because the server cannot be destroyed from within its own handler.
    m_loop.post([this, alive = m_alive] {
        if (!*alive || !m_server) {
            return;
        }
        for (auto &entry : m_requests) {
            m_loop.cancelTimer(entry.timer);
        }
        m_requests.clear();
        m_server.reset();
        m_loop.after(milliseconds {m_model.faults.restartMs}, [this, alive] {
            if (*alive) {
                m_model.restart(m_loop.now());
                listen();
            }
        });
    });
}

void backend_server_standin::dropHangingRequests()
{
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        const auto next = std::next(entry);
        if (entry->timer == 0) {
            finish(entry, {}, true);
        }
        entry = next;
    }
}

void backend_server_standin::receive(const http_request &request, const http_responder &respond)
{
    updatePeakConnections();
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
    request_parameters parameters {.shard = shard, .snapshot = request.header("snapshot").value_or(""), .deadlineMs = integerHeader(request, "deadline")};
    if (const auto version = integerHeader(request, "shard-map-version")) {
        parameters.mapVersion = static_cast<std::uint64_t>(*version);
    }
    const auto &marker = m_model.faults.crashMarker;
    parameters.hasCrashMarker = !marker.empty() && request.body.find(marker) != std::string::npos;
    const auto plan = m_model.begin(parameters, m_loop.now());
    switch (plan.outcome) {
    case request_outcome::runs:
        run(request, respond, plan, shard);
        return;
    case request_outcome::hangs:
        recordStart(request);
        m_requests.push_back({request.header("request-id").value_or(""), respond, 0});
        m_loop.after(milliseconds {m_model.faults.collapseMs}, [this, alive = m_alive] {
            if (*alive && !m_model.faults.stalled && !m_model.collapsed(m_loop.now())) {
                dropHangingRequests();
            }
        });
        return;
    case request_outcome::crashes:
        recordStart(request);
        crash();
        return;
    case request_outcome::drops_before_run:
        respond(dropConnectionResponse());
        return;
    default:
        respond(rejectionResponse(plan.outcome));
    }
}

void backend_server_standin::run(const http_request &request, const http_responder &respond, const response_plan &plan, std::optional<std::uint32_t> shard)
{
    recordStart(request);
    m_requests.push_back({request.header("request-id").value_or(""), respond, 0});
    const auto entry = std::prev(m_requests.end());
    const auto deadline = integerHeader(request, "deadline");
    const double serviceMs = plan.serviceMs + plan.addedLatencyMs;
    // The deadline ends only searches; an execute request that has started runs to completion.
    if (shard && deadline && serviceMs > static_cast<double>(*deadline)) {
        schedule(entry, static_cast<double>(*deadline), [this, entry] {
            m_model.counts.pastDeadline += 1;
            finish(entry, problemResponse(504, "deadline passed", "unknown"), false);
        });
        return;
    }
    schedule(entry, serviceMs, [this, entry, request, plan, shard] {
        recordFinish(request);
        m_model.counts.answered += 1;
        finish(entry, makeResponse(request, plan, shard), plan.dropAfterRun);
    });
}

// Timers have a resolution of one millisecond. The fraction that is cut off is carried over to the next request, so that
// the mean service time is right.
void backend_server_standin::schedule(request_list::iterator entry, double delayMs, std::function<void()> callback)
{
    const double wholeMs = std::floor(delayMs + m_delayRemainderMs);
    m_delayRemainderMs += delayMs - wholeMs;
    entry->timer = m_loop.after(milliseconds {static_cast<milliseconds::rep>(wholeMs)}, std::move(callback));
}

void backend_server_standin::finish(request_list::iterator entry, http_response response, bool drop)
{
    const auto respond = std::move(entry->respond);
    m_requests.erase(entry);
    m_model.finishRequest();
    respond(drop ? dropConnectionResponse() : std::move(response));
}

static json makeResults(const std::string &query, std::uint32_t shard, const std::string &snapshot)
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

http_response backend_server_standin::makeResponse(const http_request &request, const response_plan &plan, std::optional<std::uint32_t> shard)
{
    json body {{"snapshot", plan.snapshot}, {"server", m_model.spec.id}, {"request_id", request.header("request-id").value_or("")}};
    if (shard) {
        body["map_version"] = plan.mapVersion;
        body["shard"] = *shard;
        body["results"] = makeResults(request.body, *shard, plan.snapshot);
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
    std::swap(response, m_previousResponse);
    return plan.sendPreviousResponse && response.status != 0 ? response : m_previousResponse;
}

http_response backend_server_standin::rejectionResponse(request_outcome outcome) const
{
    switch (outcome) {
    case request_outcome::snapshot_not_held: {
        auto response = problemResponse(409, "snapshot not held", "not_run");
        response.headers.push_back({"Snapshot", m_model.spec.snapshots.empty() ? std::string() : m_model.spec.snapshots.back()});
        return response;
    }
    case request_outcome::shard_not_here: {
        auto response = problemResponse(421, "shard not here", "not_run");
        response.headers.push_back({"Shard-Map-Version", std::to_string(m_model.spec.mapVersion)});
        return response;
    }
    case request_outcome::draining:
        return problemResponse(503, "draining", "not_run");
    case request_outcome::deadline_passed:
        return problemResponse(503, "deadline passed", "not_run");
    default:
        return problemResponse(503, "shed", "not_run");
    }
}

http_response backend_server_standin::cancel(const std::string &requestId)
{
    std::uint64_t count = 0;
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        const auto next = std::next(entry);
        if (entry->requestId == requestId) {
            m_loop.cancelTimer(entry->timer);
            count += 1;
            finish(entry, problemResponse(499, "cancelled", "unknown"), false);
        }
        entry = next;
    }
    m_model.counts.cancelled += count;
    return jsonResponse({{"cancelled", count}});
}

http_response backend_server_standin::health()
{
    const auto now = m_loop.now();
    const bool isHealthy = m_model.faults.reportHealthyAndIdle || !(m_model.collapsed(now) || m_model.faults.draining);
    return jsonResponse({{"state", isHealthy ? "healthy" : m_model.faults.draining ? "draining" : "collapsed"}}, isHealthy ? 200 : 503);
}

http_response backend_server_standin::load()
{
    const auto now = m_loop.now();
    if (now - m_loadReportedAt >= milliseconds {m_model.faults.loadLagMs}) {
        m_loadReportedAt = now;
        m_reportedLoad = m_model.running();
    }
    return jsonResponse({{"running", m_model.faults.reportHealthyAndIdle ? 0 : m_reportedLoad}, {"slots", m_model.spec.slots}});
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
