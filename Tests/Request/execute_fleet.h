#pragma once

#include "Request/execute_service.h"

#include "StandIns/backend_fleet_control.h"
#include "StandIns/platform_standin.h"

#include <nlohmann/json.hpp>

namespace daisystile {

/// Execute services of several daemons that share a reactor, a platform and backend servers; messages are delivered
/// without peer links.
class execute_fleet
{
public:
    execute_fleet(int daemons, int servers);

    struct caller_answer
    {
        int status = 0;
        nlohmann::json body;
        /// "done", "not_run" or "unknown"; empty until the answer arrives.
        std::string outcome;
    };

    /// Sends a request through one daemon; the answer is filled in later.
    std::shared_ptr<caller_answer> start(int daemon, const std::string &key, milliseconds wait = seconds {20}, const std::string &body = "{}");
    caller_answer execute(int daemon, const std::string &key, milliseconds wait = seconds {20}, const std::string &body = "{}");
    /// Runs the loop until the condition holds; returns false after a timeout.
    bool runUntil(const std::function<bool()> &condition);
    /// Stops the daemon at once and notifies the others.
    void crash(int daemon);
    /// Makes the daemon release its journals and leave.
    void leave(int daemon);
    int journalOwnerOf(const std::string &key) const;

    nlohmann::json platformControl(const std::string &method, const std::string &path, const nlohmann::json &body = nlohmann::json::object());
    nlohmann::json serverControl(const std::string &method, const std::string &path, const nlohmann::json &body = nlohmann::json::object());
    /// Returns how often a key was started on any server, as counted by the servers.
    int startCountOf(const std::string &key);

    /// Delivers each message to a server's owner twice.
    bool duplicateFrames = false;
    std::chrono::steady_clock::time_point now() const
    {
        return m_loop.now();
    }

private:
    struct node
    {
        node(execute_fleet &fleet, int index);

        view_publisher views;
        http_client http;
        platform_client platform;
        execute_runner runner;
        execute_service service;
        member_state state = member_state::alive;
    };

    static daemon_id nameOf(int index);
    int indexOf(const daemon_id &id) const;
    bool deliver(int from, const daemon_id &to, peer_message message);
    void take(int from, int to, const peer_message &message);
    void publish();
    http_response callControl(const http_handler &handler, const std::string &method, const std::string &path, const nlohmann::json &body);

    reactor m_loop;
    platform_standin m_platform {m_loop};
    std::unique_ptr<http_server> m_platformServer;
    backend_fleet_control m_servers {m_loop, 1};
    std::shared_ptr<configuration> m_config = std::make_shared<configuration>();
    std::vector<std::unique_ptr<node>> m_nodes;
};

} // namespace daisystile
