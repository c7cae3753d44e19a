#include "slot_manager.h"

#include "send_check.h"

#include <algorithm>

namespace daisystile {

static constexpr milliseconds tickInterval {5};
static constexpr milliseconds serverCheckInterval {1000};
static constexpr milliseconds healthTimeout {500};
static constexpr int statusHealthy = 200;

static constexpr std::size_t maxRecordedGates = 32;
static constexpr std::size_t maxRecordedSteps = 20000;

slot_manager::slot_manager(reactor &loop, http_client &http, ownership_policy policy, std::function<void(server_idle)> idle)
    : m_loop(loop),
      m_http(http),
      m_policy(policy),
      m_onServerIdle(std::move(idle)),
      m_view(std::make_shared<const fleet_view>())
{
    m_tickTimer = m_loop.after(tickInterval, [this] { tick(); });
    m_serverCheckTimer = m_loop.after(serverCheckInterval, [this] { checkServers(); });
}

slot_manager::~slot_manager()
{
    m_loop.cancelTimer(m_tickTimer);
    m_loop.cancelTimer(m_serverCheckTimer);
}

void slot_manager::setView(std::shared_ptr<const fleet_view> view)
{
    const bool sameConfig = view->config == m_view->config;
    m_view = std::move(view);
    if (sameConfig) {
        return;
    }
    m_catalogue.clear();
    m_serverAt.clear();
    for (const auto &[name, entry] : m_view->config->services) {
        for (const auto &server : entry->servers) {
            const auto domain = m_view->config->domains.find(server.domain);
            const bool out = domain != m_view->config->domains.end() && domain->second.out;
            m_catalogue[server.id] = {name, &server, out};
            m_serverAt[server.address] = server.id;
        }
    }
}

void slot_manager::change(const lease_change &change)
{
    std::visit([this](const auto &some) { on(some); }, change);
}

void slot_manager::on(const start_serving &change)
{
    auto &entry = create(change.server);
    entry.leaseUntil = change.until;
    entry.stopping = false;
    apply(change.server, entry, gate_opened {change.allowed});
}

void slot_manager::on(const extend_lease &change)
{
    const auto found = m_servers.find(change.server);
    if (found != m_servers.end() && !found->second.stopping) {
        found->second.leaseUntil = change.until;
    }
}

void slot_manager::on(const stop_serving &change)
{
    const auto found = m_servers.find(change.server);
    if (found == m_servers.end()) {
        m_onServerIdle({change.server, 0});
        return;
    }
    auto &entry = found->second;
    entry.leaseUntil = {};
    entry.stopping = true;
    apply(change.server, entry, gate_closed {});
    reportIfIdle(change.server, entry);
}

slot_manager::server_entry &slot_manager::create(const backend_server_id &server)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        return found->second;
    }
    gate_settings settings;
    const auto listed = m_catalogue.find(server);
    if (listed != m_catalogue.end()) {
        settings.slots = listed->second.server->slots;
    }
    auto &entry = m_servers.emplace(server, server_entry(settings)).first->second;
    if (listed != m_catalogue.end()) {
        entry.service = listed->second.service;
    }
    if (m_recording && m_recorded < maxRecordedGates) {
        m_recorded += 1;
        entry.recorder.emplace(settings.slots, maxRecordedSteps);
    }
    return entry;
}

slot_manager::server_entry *slot_manager::entryFor(const backend_server_id &server)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        return &found->second;
    }
    if (m_policy == ownership_policy::every_daemon && m_catalogue.contains(server)) {
        on(start_serving {server, monotonic_time::max(), 0});
        return &m_servers.at(server);
    }
    return nullptr;
}

slot_ticket_id slot_manager::enter(slot_request request)
{
    const auto ticket = m_nextTicket++;
    auto *entry = entryFor(request.server);
    if (!entry) {
        request.refuse(attempt_failure::not_owner);
        return ticket;
    }
    if (const auto failure = check(request.server, *entry, request, 0)) {
        request.refuse(*failure);
        return ticket;
    }
    const auto server = request.server;
    const waiting_request waiting {ticket, request.rank, request.deadline};
    m_tickets.emplace(ticket, std::move(request));
    apply(server, *entry, request_arrived {waiting});
    return ticket;
}

void slot_manager::withdraw(slot_ticket_id ticket)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end()) {
        return;
    }
    const auto server = found->second.server;
    apply(server, m_servers.at(server), request_withdrawn {ticket});
}

void slot_manager::leave(slot_ticket_id ticket, request_end end)
{
    const auto left = m_tickets.extract(ticket);
    if (left.empty()) {
        return;
    }
    const auto &server = left.mapped().server;
    auto &entry = m_servers.at(server);
    apply(server, entry, request_ended {ticket, end});
    reportIfIdle(server, entry);
}

void slot_manager::connectionEnded(const closed_idle_connection &end)
{
    const auto listed = m_serverAt.find(end.address);
    const auto found = listed == m_serverAt.end() ? m_servers.end() : m_servers.find(listed->second);
    if (found == m_servers.end()) {
        return;
    }
    auto &gate = found->second.gate;
    const auto before = gate.allowed(m_loop.now());
    apply(found->first, found->second, kept_connection_ended {end.idleTime});
    if (gate.allowed(m_loop.now()) < before) {
        DAISYSTILE_LOG(INFO, "owner") << "Server closed a kept-alive connection; treating it as cold." << field("server", found->first.value)
                                      << field("unused_ms", static_cast<std::uint64_t>(end.idleTime.count()));
    }
}

void slot_manager::apply(const backend_server_id &server, server_entry &entry, const gate_event &event)
{
    const auto now = m_loop.now();
    const auto actions = entry.gate.decide(event, now);
    if (entry.recorder) {
        entry.recorder->add(now, event, actions);
    }
    for (const auto &action : actions) {
        std::visit([&](const auto &some) { perform(server, entry, some); }, action);
    }
}

void slot_manager::perform(const backend_server_id &server, server_entry &entry, const run_request &action)
{
    const auto found = m_tickets.find(action.id);
    if (found == m_tickets.end()) {
        return;
    }
    if (const auto failure = check(server, entry, found->second, entry.gate.running())) {
        const auto refused = m_tickets.extract(found);
        apply(server, entry, request_ended {action.id, request_end::neutral});
        refused.mapped().refuse(*failure);
        return;
    }
    const auto run = found->second.run;
    run(action.id, *m_catalogue.at(server).server);
}

void slot_manager::perform(const backend_server_id &, server_entry &, const refuse_request &action)
{
    const auto refused = m_tickets.extract(action.id);
    if (!refused.empty()) {
        refused.mapped().refuse(action.failure);
    }
}

std::optional<attempt_failure>
slot_manager::check(const backend_server_id &server, const server_entry &entry, const slot_request &request, std::size_t running) const
{
    const auto now = m_loop.now();
    const auto listed = m_catalogue.find(server);
    send_conditions conditions;
    conditions.leaseUntil = entry.leaseUntil;
    conditions.deadline = request.deadline;
    conditions.running = running;
    conditions.allowed = entry.gate.allowed(now);
    conditions.listed = listed != m_catalogue.end() && listed->second.service == request.service;
    conditions.domainOut = conditions.listed && listed->second.domainOut;
    conditions.draining = entry.gate.draining();
    conditions.quarantined = isQuarantined(request);
    return maySend(conditions, now);
}

bool slot_manager::isQuarantined(const slot_request &request) const
{
    const auto now = m_loop.now();
    return std::any_of(m_view->quarantined.begin(), m_view->quarantined.end(), [&](const quarantined_request &some) {
        return some.request == request.request && some.service == request.service && now < some.until;
    });
}

void slot_manager::reportIfIdle(const backend_server_id &server, server_entry &entry)
{
    if (entry.stopping && entry.gate.running() == 0) {
        entry.stopping = false;
        m_onServerIdle({server, entry.gate.handover()});
    }
}

server_load slot_manager::loadOf(const backend_server_id &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? server_load {} : found->second.gate.load(m_loop.now());
}

std::size_t slot_manager::openTickets() const
{
    return m_tickets.size();
}

void slot_manager::tick()
{
    m_tickTimer = m_loop.after(tickInterval, [this] { tick(); });
    for (auto &[server, entry] : m_servers) {
        if (entry.gate.running() > 0 || entry.gate.queued() > 0) {
            apply(server, entry, gate_tick {});
        }
    }
}

void slot_manager::checkServers()
{
    m_serverCheckTimer = m_loop.after(serverCheckInterval, [this] { checkServers(); });
    shareReferenceLatencies();
    for (auto &[server, entry] : m_servers) {
        if (entry.gate.draining() && !entry.healthCheckPending) {
            checkHealth(server, entry);
        }
    }
}

// A server that this daemon has just taken over is compared with the other servers of its service.
void slot_manager::shareReferenceLatencies()
{
    std::map<service_name, std::vector<microseconds>> known;
    for (const auto &[server, entry] : m_servers) {
        if (entry.gate.warmLatency().count() > 0) {
            known[entry.service].push_back(entry.gate.warmLatency());
        }
    }
    for (auto &[server, entry] : m_servers) {
        const auto found = known.find(entry.service);
        if (entry.gate.warmLatency().count() == 0 && found != known.end()) {
            auto &latencies = found->second;
            const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
            std::nth_element(latencies.begin(), middle, latencies.end());
            apply(server, entry, reference_seen {*middle});
        }
    }
}

static health_state readHealth(const http_result &result)
{
    if (const auto *reply = std::get_if<http_reply>(&result)) {
        return reply->status == statusHealthy ? health_state::healthy : health_state::draining;
    }
    const auto kind = std::get<http_failure>(result).kind;
    const bool gone = kind == http_failure_kind::connect_failed || kind == http_failure_kind::reset;
    return gone ? health_state::unreachable : health_state::draining;
}

void slot_manager::checkHealth(const backend_server_id &server, server_entry &entry)
{
    const auto listed = m_catalogue.find(server);
    if (listed == m_catalogue.end()) {
        return;
    }
    entry.healthCheckPending = true;
    http_call call;
    call.address = listed->second.server->address;
    call.path = "/health";
    call.timeout = healthTimeout;
    m_http.send(std::move(call), [this, server, alive = std::weak_ptr(m_alive)](const http_result &result) {
        if (alive.expired()) {
            return;
        }
        auto &asked = m_servers.at(server);
        asked.healthCheckPending = false;
        apply(server, asked, health_seen {readHealth(result)});
    });
}

void slot_manager::recordTraces()
{
    m_recording = true;
}

std::optional<std::string> slot_manager::traceOf(const backend_server_id &server) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.recorder) {
        return std::nullopt;
    }
    return found->second.recorder->text();
}

} // namespace daisystile
