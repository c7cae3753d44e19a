#pragma once

#include "child_process.h"
#include "test_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace daisystile {

/// One service of the fleet under test; its backend servers are assigned to the failure domains round-robin.
struct service_layout
{
    std::string name;
    bool execute = false;
    int shards = 0;
    /// Replicas per shard; for an execute service, which has no shards, the number of its servers.
    int replicas = 3;
    int slots = 3;
    int connections = 30;
    double latencyMs = 2;
};

struct fleet_layout
{
    std::vector<std::string> domains {"sfax-medina", "sfax-port", "sfax-sakiet"};
    std::vector<service_layout> services {{.name = "marshal-desk", .shards = 10},
        {.name = "logbook", .execute = true, .replicas = 6, .slots = 2, .connections = 110, .latencyMs = 2}};
    int daemonsPerDomain = 1;
    /// TOML lines appended to the contract of the only customer, "marshals".
    std::string contractLines;
};

/// Runs real daemons and the stand-ins on free ports and stops them when the test ends.
class fleet_fixture : public testing::Test
{
protected:
    fleet_fixture();
    ~fleet_fixture() override;

    /// Starts everything and waits until every daemon is ready.
    void startFleet(fleet_layout layout = {});
    void startDaemon(const std::string &name, const std::string &domain);
    /// Registers the daemon's addresses in the platform's host list, as its host would.
    void registerHost(const std::string &name, const std::string &state = "live");
    bool waitReady(const std::string &name);
    child_process &daemonNamed(const std::string &name);
    std::vector<std::string> daemonNames() const;

    http_call queryCall(const std::string &daemon, const std::string &service, const std::string &query, milliseconds timeout = seconds {10});
    http_call executeCall(const std::string &daemon, const std::string &service, const std::string &key, const std::string &body = "{}");

    nlohmann::json setPlatformFaults(const nlohmann::json &faults);
    nlohmann::json platformCounters();
    /// Sets faults on the servers selected by "servers", "domains" or "services"; on all servers if none is given.
    nlohmann::json setServerFaults(const nlohmann::json &set, nlohmann::json selector = nlohmann::json::object());
    nlohmann::json serverRecords();
    nlohmann::json serverControl(const std::string &path, const nlohmann::json &body);
    /// Returns how many times the servers started the request with this idempotency key.
    int startCountOf(const std::string &key);

    /// Writes a configuration object and the new catalogue head to the store, as an accepted change does.
    void writeConfig(const std::string &kind, const std::string &name, const std::string &text);
    std::string serviceText(const service_layout &service, const std::string &snapshot, int mapVersion) const;

    test_client m_client;
    fleet_layout m_layout;
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
    std::map<std::string, nlohmann::json> m_catalogEntries;
    std::uint64_t m_catalogHeadNumber = 0;
};

} // namespace daisystile
