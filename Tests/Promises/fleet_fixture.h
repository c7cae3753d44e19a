#pragma once

#include "child_process.h"
#include "test_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace daisystile {

/// One service of the fleet under test; its servers are spread evenly over the failure domains.
struct service_shape
{
    std::string name;
    bool execute = false;
    int shards = 0;
    /// Of each shard; execute services have one group of servers.
    int replicas = 3;
    int slots = 3;
    int connections = 30;
    double latencyMs = 2;
};

struct fleet_shape
{
    std::vector<std::string> domains {"sfax-medina", "sfax-port", "sfax-sakiet"};
    std::vector<service_shape> services {{.name = "marshal-desk", .shards = 10},
        {.name = "logbook", .execute = true, .replicas = 6, .slots = 2, .connections = 110, .latencyMs = 2}};
    int daemonsPerDomain = 1;
    /// Lines for the contract of the one customer, "marshals".
    std::string contractLines;
};

/// Real daemons and stand-ins on free ports, ended with the test.
class fleet_fixture : public testing::Test
{
protected:
    fleet_fixture();
    ~fleet_fixture() override;

    /// Starts everything and waits until every daemon is ready.
    void startFleet(fleet_shape shape = {});
    void startDaemon(const std::string &name, const std::string &domain);
    /// Tells the platform's host list of the daemon's addresses, as its host would.
    void registerHost(const std::string &name, const std::string &state = "live");
    bool waitReady(const std::string &name);
    child_process &daemonNamed(const std::string &name);
    std::vector<std::string> daemonNames() const;

    http_call queryCall(const std::string &daemon, const std::string &service, const std::string &query, milliseconds timeout = seconds {10});
    http_call executeCall(const std::string &daemon, const std::string &service, const std::string &key, const std::string &body = "{}");

    nlohmann::json platformFaults(const nlohmann::json &faults);
    nlohmann::json platformCounters();
    /// Who is meant goes by "servers", "domains" or "services"; all when none is given.
    nlohmann::json serverFaults(const nlohmann::json &set, nlohmann::json who = nlohmann::json::object());
    nlohmann::json serverRecords();
    nlohmann::json serverControl(const std::string &path, const nlohmann::json &body);
    /// How often servers started a key.
    int startsOf(const std::string &key);

    /// Writes a configured object as an accepted change does.
    void writeConfig(const std::string &kind, const std::string &name, const std::string &text);
    std::string serviceText(const service_shape &service, const std::string &snapshot, int mapVersion) const;

    test_client m_client;
    fleet_shape m_shape;
    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<child_process> m_servers;
    std::unique_ptr<child_process> m_proxy;

private:
    void createServers();
    std::string settingsText(const std::string &name, const std::string &domain) const;
    std::string errorFile(const std::string &name) const;
    std::unique_ptr<child_process> startProgram(const std::string &program, const std::vector<std::string> &arguments, const std::string &name);

    std::string m_folder;
    std::map<std::string, std::unique_ptr<child_process>> m_daemons;
    std::map<std::string, std::string> m_domainOf;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, nlohmann::json> m_head;
    std::uint64_t m_headNumber = 0;
};

} // namespace daisystile
