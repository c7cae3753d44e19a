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

/// What the control thread tells the traffic thread of this daemon's leases.
using lease_change = std::variant<start_serving, extend_lease, stop_serving>;

/// Names one request from enter() until it was refused or has left.
using slot_ticket_id = std::uint64_t;

/// A request for a slot of a backend server; exactly one of the two callbacks comes, from within enter() or later.
struct slot_request
{
    service_name service;
    backend_server_id server;
    urgency rank = urgency::normal;
    monotonic_time deadline;
    fingerprint request;
    /// Send now; the ticket has to leave() when the request has ended.
    std::function<void(slot_ticket_id, const backend_server &)> run;
    /// It has not run and will not.
    std::function<void(attempt_failure)> refuse;
};

/// The gates of all backend servers that this daemon owns; lives on the traffic thread.
class slot_keeper
{
public:
    slot_keeper(reactor &loop, http_client &http, ownership_policy policy, std::function<void(server_quiet)> quiet);
    ~slot_keeper();
    slot_keeper(const slot_keeper &) = delete;
    slot_keeper &operator=(const slot_keeper &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);
    void change(const lease_change &change);

    slot_ticket_id enter(slot_request request);
    /// Refuses the request if it still waits; one that runs is left alone.
    void withdraw(slot_ticket_id ticket);
    void leave(slot_ticket_id ticket, request_end end);
    void connectionEnded(const ended_connection &end);

    server_load loadOf(const backend_server_id &server) const;
    std::size_t openTickets() const;

    /// From now on, gates that open are recorded, a bounded number of them.
    void recordTraces();
    /// What was recorded of a server's gate; nothing when it is not recorded.
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
        bool asksHealth = false;
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
    void reportIfQuiet(const backend_server_id &server, server_entry &entry);
    void tick();
    void watchOver();
    void shareReferences();
    void askHealth(const backend_server_id &server, server_entry &entry);

    reactor &m_loop;
    http_client &m_http;
    ownership_policy m_policy;
    std::function<void(server_quiet)> m_quiet;
    std::shared_ptr<const fleet_view> m_view;
    std::unordered_map<backend_server_id, catalogue_entry> m_catalogue;
    std::map<ip_address, backend_server_id> m_serverAt;
    std::map<backend_server_id, server_entry> m_servers;
    std::unordered_map<slot_ticket_id, slot_request> m_tickets;
    slot_ticket_id m_nextTicket = 1;
    bool m_recording = false;
    std::size_t m_recorded = 0;
    timer_id m_tickTimer = 0;
    timer_id m_watchTimer = 0;
    // Answers that come after the end of this object find it gone.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisystile
