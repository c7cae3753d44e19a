#pragma once

#include "gate_trace.h"
#include "ownership.h"
#include "slot_gate.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace daisystile {

/// A change of this daemon's leases, passed from the control thread to the traffic thread.
using lease_change = std::variant<start_serving, extend_lease, stop_serving>;

/// Identifies one request from enter() until it was refused or leave() was called.
using slot_ticket_id = std::uint64_t;

/// A request for a slot of a backend server. Exactly one of the two callbacks is called, from within enter() or later.
struct slot_request
{
    service_name service;
    backend_server_id server;
    urgency rank = urgency::normal;
    monotonic_time deadline;
    fingerprint request;
    /// The request must be sent now; leave() must be called when it has ended.
    std::function<void(slot_ticket_id, const backend_server &)> run;
    /// The request did not run and will not.
    std::function<void(attempt_failure)> refuse;
};

/// Manages the gates of all backend servers that this daemon owns. Used on the traffic thread only.
class slot_manager
{
public:
    slot_manager(reactor &loop, http_client &http, ownership_policy policy, std::function<void(server_idle)> idle);
    ~slot_manager();
    slot_manager(const slot_manager &) = delete;
    slot_manager &operator=(const slot_manager &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);
    void change(const lease_change &change);

    slot_ticket_id enter(slot_request request);
    /// Refuses the request if it is still queued; has no effect on a running one.
    void withdraw(slot_ticket_id ticket);
    void leave(slot_ticket_id ticket, request_end end);
    void connectionEnded(const closed_idle_connection &end);

    server_load loadOf(const backend_server_id &server) const;
    std::size_t openTickets() const;

    /// Starts recording gates that open from now on, up to a fixed number.
    void recordTraces();
    /// The recorded trace of a server's gate, if it is recorded.
    std::optional<std::string> traceOf(const backend_server_id &server) const;

private:
    struct server_entry
    {
        explicit server_entry(gate_settings settings)
            : gate(settings)
        {
        }

        slot_gate gate;
        std::optional<gate_recorder> recorder;
        service_name service;
        monotonic_time leaseUntil;
        bool stopping = false;
        bool healthCheckPending = false;
    };

    struct catalogue_entry
    {
        service_name service;
        const backend_server *server = nullptr;
        bool domainOut = false;
    };

    void on(const start_serving &change);
    void on(const extend_lease &change);
    void on(const stop_serving &change);
    server_entry *entryFor(const backend_server_id &server);
    server_entry &create(const backend_server_id &server);
    void apply(const backend_server_id &server, server_entry &entry, const gate_event &event);
    void perform(const backend_server_id &server, server_entry &entry, const run_request &action);
    void perform(const backend_server_id &server, server_entry &entry, const refuse_request &action);
    std::optional<attempt_failure> check(const backend_server_id &server, const server_entry &entry, const slot_request &request, std::size_t running) const;
    bool isQuarantined(const slot_request &request) const;
    void reportIfIdle(const backend_server_id &server, server_entry &entry);
    void tick();
    void checkServers();
    void shareReferenceLatencies();
    void checkHealth(const backend_server_id &server, server_entry &entry);

    reactor &m_loop;
    http_client &m_http;
    ownership_policy m_policy;
    std::function<void(server_idle)> m_onServerIdle;
    std::shared_ptr<const fleet_view> m_view;
    std::unordered_map<backend_server_id, catalogue_entry> m_catalogue;
    std::map<ip_address, backend_server_id> m_serverAt;
    std::map<backend_server_id, server_entry> m_servers;
    std::unordered_map<slot_ticket_id, slot_request> m_tickets;
    slot_ticket_id m_nextTicket = 1;
    bool m_recording = false;
    std::size_t m_recorded = 0;
    timer_id m_tickTimer = 0;
    timer_id m_serverCheckTimer = 0;
    // Lets health checks that complete after this object's destruction detect it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisystile
