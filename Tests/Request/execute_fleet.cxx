#include "execute_fleet.h"

namespace daisystile {

using nlohmann::json;

static constexpr milliseconds runTimeout {60000};
static constexpr milliseconds checkInterval {2};
static const service_name logbook {"logbook"};

static std::vector<member> membersOf(const std::vector<member_state> &states)
{
    std::vector<member> members;
    for (std::size_t i = 0; i < states.size(); ++i) {
        members.push_back(
            {.id = {"d" + std::to_string(i)}, .incarnationNumber = {1}, .domain = {"domain" + std::to_string(i % 3)}, .region = {"r"}, .state = states[i]});
    }
    return members;
}

// Grants an unlimited number of slots, but only on servers of the catalogue.
static void runOrRefuse(const fleet_view &view, const slot_request &request)
{
    const auto found = view.config->services.find(request.service);
    if (found != view.config->services.end()) {
        for (const auto &server : found->second->servers) {
            if (server.id == request.server) {
                request.run(0, server);
                return;
            }
        }
    }
    request.refuse(attempt_failure::not_owner);
}

execute_fleet::node::node(execute_fleet &fleet, int index)
    : http(fleet.m_loop),
      platform(http, {fleet.m_platformServer->address(), {"domain" + std::to_string(index % 3)}, milliseconds {500}}),
      runner(fleet.m_loop,
          {[&fleet, index](const daemon_id &to, const execute_answer &answer) { fleet.deliver(index, to, answer); },
              [this](const slot_request &request) { runOrRefuse(*views.current(), request); },
              [](slot_ticket_id, request_end) {
              }}),
      service(fleet.m_loop,
          platform,
          {nameOf(index), {1}},
          {[&fleet, index](const daemon_id &to, const peer_message &message) { return fleet.deliver(index, to, message); },
              [this, index](execute_request request) {
                  runner.run(nameOf(index), std::move(request));
              }})
{
}

execute_fleet::execute_fleet(int daemons, int servers)
{
    m_platformServer = http_server::listen(m_loop, {"127.0.0.1", 0}, m_platform.objectApi()).value();
    auto specs = json::array();
    for (int i = 0; i < servers; ++i) {
        specs.push_back({{"id", "s" + std::to_string(i)}, {"service", "logbook"}, {"kind", "execute"}, {"slots", 1000}, {"latencyMs", 2}});
    }
    auto entry = std::make_shared<service>();
    entry->name = logbook;
    entry->kind = service_kind::execute;
    for (const auto &created : serverControl("POST", "/servers", specs)) {
        const auto address = parseIpAddress(created["address"].get<std::string>()).value();
        const failure_domain_name domain {"domain" + std::to_string(entry->servers.size() % 3)};
        entry->servers.push_back({{created["id"].get<std::string>()}, domain, address, 1000, 110});
    }
    m_config->services[logbook] = entry;
    for (const auto *name : {"domain0", "domain1", "domain2"}) {
        m_config->domains[{name}] = {{name}, {"r"}, false};
    }
    for (int i = 0; i < daemons; ++i) {
        m_nodes.push_back(std::make_unique<node>(*this, i));
    }
    publish();
}

daemon_id execute_fleet::nameOf(int index)
{
    return {"d" + std::to_string(index)};
}

int execute_fleet::indexOf(const daemon_id &id) const
{
    return std::stoi(id.value.substr(1));
}

void execute_fleet::publish()
{
    std::vector<member_state> states;
    for (const auto &entry : m_nodes) {
        states.push_back(entry ? entry->state : member_state::dead);
    }
    auto view = std::make_shared<fleet_view>();
    view->config = m_config;
    view->members = membersOf(states);
    view->ready = true;
    const auto owners = std::make_shared<const owner_map>(view);
    for (const auto &entry : m_nodes) {
        if (entry) {
            entry->views.publish(view);
            entry->service.setView(view, owners);
        }
    }
}

bool execute_fleet::deliver(int from, const daemon_id &to, peer_message message)
{
    if (!m_nodes.at(indexOf(to))) {
        return false;
    }
    m_loop.post([this, from, to, message = std::move(message)] { take(from, indexOf(to), message); });
    return true;
}

void execute_fleet::take(int from, int to, const peer_message &message)
{
    const auto &entry = m_nodes.at(to);
    if (!entry) {
        return;
    }
    if (const auto *answer = std::get_if<execute_answer>(&message)) {
        entry->service.receive(*answer);
        return;
    }
    const auto &request = std::get<execute_request>(message);
    if (request.server.value.empty()) {
        entry->service.receive(nameOf(from), request);
        return;
    }
    entry->runner.run(nameOf(from), request);
    if (duplicateFrames) {
        entry->runner.run(nameOf(from), request);
    }
}

std::shared_ptr<execute_fleet::caller_answer> execute_fleet::start(int daemon, const std::string &key, milliseconds wait, const std::string &body)
{
    auto result = std::make_shared<caller_answer>();
    auto terms = std::make_shared<contract>();
    terms->customer = {"sfax"};
    execute_submission submission {logbook, terms, {key}, fingerprintOf(logbook, body), body, wait};
    m_nodes.at(daemon)->service.submit(std::move(submission), [result](const http_response &response) {
        result->status = response.status;
        result->body = json::parse(response.body);
        result->outcome = result->body["outcome"];
    });
    return result;
}

execute_fleet::caller_answer execute_fleet::execute(int daemon, const std::string &key, milliseconds wait, const std::string &body)
{
    const auto result = start(daemon, key, wait, body);
    runUntil([&] { return !result->outcome.empty(); });
    return *result;
}

bool execute_fleet::runUntil(const std::function<bool()> &condition)
{
    const auto until = m_loop.now() + runTimeout;
    while (!condition()) {
        if (m_loop.now() >= until) {
            return false;
        }
        m_loop.after(checkInterval, [this] { m_loop.stop(); });
        m_loop.run();
    }
    return true;
}

void execute_fleet::crash(int daemon)
{
    m_nodes.at(daemon).reset();
    for (const auto &entry : m_nodes) {
        if (entry) {
            entry->service.peerLost({nameOf(daemon), false});
        }
    }
    publish();
}

void execute_fleet::leave(int daemon)
{
    auto &entry = *m_nodes.at(daemon);
    entry.state = member_state::leaving;
    publish();
    entry.service.leave();
    runUntil([&] { return entry.service.idle(); });
    m_nodes.at(daemon).reset();
    publish();
}

int execute_fleet::journalOwnerOf(const std::string &key) const
{
    std::vector<member_state> states;
    for (const auto &entry : m_nodes) {
        states.push_back(entry ? entry->state : member_state::dead);
    }
    const auto members = membersOf(states);
    return indexOf(journalOwner(journalPartitionOf({{"sfax"}, logbook, {key}}), members)->id);
}

http_response execute_fleet::callControl(const http_handler &handler, const std::string &method, const std::string &path, const json &body)
{
    http_response answer;
    handler({.method = method, .path = path, .body = body.dump()}, [&](http_response response) { answer = std::move(response); });
    return answer;
}

json execute_fleet::platformControl(const std::string &method, const std::string &path, const json &body)
{
    return json::parse(callControl(m_platform.controlApi(), method, path, body).body);
}

json execute_fleet::serverControl(const std::string &method, const std::string &path, const json &body)
{
    return json::parse(callControl(m_servers.controlApi(), method, path, body).body);
}

int execute_fleet::startCountOf(const std::string &key)
{
    const auto executions = serverControl("GET", "/control/records")["executions"];
    return executions.contains(key) ? executions[key]["started"].get<int>() : 0;
}

} // namespace daisystile
