#include "fleet_fixture.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace daisystile {

using nlohmann::json;

static constexpr const char *region = "sfax";
static constexpr const char *customerToken = "token of the marshals";
static constexpr const char *peerKey = "key of the fleet under test";
static constexpr const char *operatorToken = "token of the operators";
static constexpr milliseconds executeTimeout {10000};

fleet_fixture::fleet_fixture()
{
    auto pattern = (std::filesystem::temp_directory_path() / "daisystile-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
}

fleet_fixture::~fleet_fixture()
{
    m_daemons.clear();
    if (HasFailure()) {
        for (const auto &entry : std::filesystem::directory_iterator(m_folder)) {
            std::cerr << "== " << entry.path().filename().string() << '\n' << std::ifstream(entry.path()).rdbuf() << '\n';
        }
    }
    std::filesystem::remove_all(m_folder);
}

std::string fleet_fixture::errorFile(const std::string &name) const
{
    return m_folder + "/" + name + ".log";
}

std::unique_ptr<child_process> fleet_fixture::startProgram(const std::string &program, const std::vector<std::string> &arguments, const std::string &name)
{
    auto started = std::make_unique<child_process>(program, arguments, errorFile(name));
    EXPECT_TRUE(started->waitReady()) << name;
    return started;
}

static std::string serverName(const service_layout &service, int index)
{
    return service.name + "-" + std::to_string(index);
}

static int serverCount(const service_layout &service)
{
    return service.execute ? service.replicas : service.shards * service.replicas;
}

void fleet_fixture::startFleet(fleet_layout layout)
{
    m_layout = std::move(layout);
    m_platform = startProgram("platform-standin", {}, "platform");
    m_servers = startProgram("backend-server-standin", {}, "servers");
    ASSERT_FALSE(HasFailure());
    createServers();
    for (const auto &service : m_layout.services) {
        writeConfig("service", service.name, serviceText(service, "s1", 1));
    }
    std::string domains;
    for (const auto &domain : m_layout.domains) {
        domains += "[[domains]]\nname = \"" + domain + "\"\nregion = \"" + region + "\"\n";
    }
    writeConfig("domains", "fleet", domains);
    std::string contract = "customer = \"marshals\"\ntoken_digests = [\"" + sha256Hex(customerToken) + "\"]\nservices = [";
    for (const auto &service : m_layout.services) {
        contract += "\"" + service.name + "\", ";
    }
    contract += "]\nurgency = \"interactive\"\nrate_per_second = 100000\nburst = 100000\nconcurrency = 10000\nwait_ms = 5000\n";
    writeConfig("contract", "marshals", contract + m_layout.contractLines);
    for (int i = 0; i < m_layout.daemonsPerDomain; ++i) {
        for (const auto &domain : m_layout.domains) {
            startDaemon(domain + "-" + std::to_string(i), domain);
        }
    }
    for (const auto &name : daemonNames()) {
        ASSERT_TRUE(waitReady(name)) << name;
    }
}

void fleet_fixture::createServers()
{
    for (const auto &service : m_layout.services) {
        auto specs = json::array();
        for (int i = 0; i < serverCount(service); ++i) {
            json spec {{"id", serverName(service, i)},
                {"service", service.name},
                {"kind", service.execute ? "execute" : "query"},
                {"slots", service.slots},
                {"connections", service.connections},
                {"latencyMs", service.latencyMs},
                {"domain", m_layout.domains[static_cast<std::size_t>(i) % m_layout.domains.size()]}};
            if (!service.execute) {
                spec["snapshots"] = {"s1"};
                spec["shards"] = {i / service.replicas};
            }
            specs.push_back(std::move(spec));
        }
        for (const auto &created : m_client.send("POST", m_servers->address("control"), "/servers", specs)) {
            m_addresses[created["id"]] = created["address"];
        }
    }
}

std::string fleet_fixture::serviceText(const service_layout &service, const std::string &snapshot, int mapVersion) const
{
    std::string text = "name = \"" + service.name + "\"\nkind = \"" + (service.execute ? "execute" : "query") + "\"\n";
    if (!service.execute) {
        text += "snapshot = \"" + snapshot + "\"\nmap_version = " + std::to_string(mapVersion) + "\n";
    }
    for (int i = 0; i < serverCount(service); ++i) {
        const auto id = serverName(service, i);
        text += "[[servers]]\nid = \"" + id + "\"\nfailure_domain = \"" + m_layout.domains[static_cast<std::size_t>(i) % m_layout.domains.size()]
            + "\"\naddress = \"" + m_addresses.at(id) + "\"\nslots = " + std::to_string(service.slots)
            + "\nconnections = " + std::to_string(service.connections) + "\n";
    }
    for (int shard = 0; shard < service.shards; ++shard) {
        text += "[[shards]]\nreplicas = [";
        for (int replica = 0; replica < service.replicas; ++replica) {
            text += "\"" + serverName(service, shard * service.replicas + replica) + "\", ";
        }
        text += "]\n";
    }
    return text;
}

void fleet_fixture::writeConfig(const std::string &kind, const std::string &name, const std::string &text)
{
    static const std::map<std::string, std::string> folders {{"contract", "contracts"}, {"service", "services"}, {"domains", "domains"}};
    const auto known = m_catalogEntries.find(kind + "/" + name);
    const std::uint64_t version = known == m_catalogEntries.end() ? 1 : known->second["version"].get<std::uint64_t>() + 1;
    const std::string previous = known == m_catalogEntries.end() ? "" : known->second["change_id"].get<std::string>();
    const auto change = "change-" + std::to_string(version);
    const auto address = m_platform->address("control");
    m_client.send("PUT",
        address,
        "/control/objects/catalog/" + folders.at(kind) + "/" + name + "/" + change,
        {{"kind", kind}, {"name", name}, {"version", version}, {"change_id", change}, {"previous", previous}, {"operator", "test"}, {"at", 0}, {"text", text}});
    m_catalogHeadNumber += 1;
    m_catalogEntries[kind + "/" + name] = {{"kind", kind}, {"name", name}, {"version", version}, {"change_id", change}, {"number", m_catalogHeadNumber}};
    auto entries = json::array();
    for (const auto &[object, entry] : m_catalogEntries) {
        entries.push_back(entry);
    }
    m_client.send("PUT", address, "/control/objects/catalog/head", {{"number", m_catalogHeadNumber}, {"entries", entries}});
}

std::string fleet_fixture::settingsText(const std::string &name, const std::string &domain) const
{
    std::string text = "id = \"" + name + "\"\nfailure_domain = \"" + domain + "\"\nregion = \"" + region + "\"\n";
    for (const auto *listener : {"callers", "operators", "traffic", "control"}) {
        text += std::string(listener) + " = \"127.0.0.1:0\"\n";
    }
    text += "platform = \"" + toString(m_platform->address("http")) + "\"\npeer_key = \"" + peerKey + "\"\n";
    return text + "operator_token_digest = \"" + sha256Hex(operatorToken) + "\"\n";
}

void fleet_fixture::startDaemon(const std::string &name, const std::string &domain)
{
    const auto file = m_folder + "/" + name + ".toml";
    std::ofstream(file) << settingsText(name, domain);
    m_domainOf[name] = domain;
    m_daemons[name] = startProgram("daisystiled", {"--config", file}, name);
    ASSERT_FALSE(HasFailure());
    registerHost(name);
}

void fleet_fixture::registerHost(const std::string &name, const std::string &state)
{
    const auto &entry = daemonNamed(name);
    m_client.send("PUT",
        m_platform->address("control"),
        "/hosts/" + name,
        {{"domain", m_domainOf.at(name)},
            {"region", region},
            {"traffic", toString(entry.address("traffic"))},
            {"control", toString(entry.address("control"))},
            {"state", state}});
}

bool fleet_fixture::waitReady(const std::string &name)
{
    const auto address = daemonNamed(name).address("callers");
    return m_client.waitUntil([&] { return statusOf(m_client.call({.address = address, .path = "/healthz/ready"})) == 200; });
}

child_process &fleet_fixture::daemonNamed(const std::string &name)
{
    return *m_daemons.at(name);
}

std::vector<std::string> fleet_fixture::daemonNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_daemons) {
        names.push_back(name);
    }
    return names;
}

http_call fleet_fixture::queryCall(const std::string &daemon, const std::string &service, const std::string &query, milliseconds timeout)
{
    return {.method = "POST",
        .address = daemonNamed(daemon).address("callers"),
        .path = "/v1/services/" + service + "/query",
        .headers = {{"Authorization", std::string("Bearer ") + customerToken}},
        .body = json({{"query", query}}).dump(),
        .timeout = timeout};
}

http_call fleet_fixture::executeCall(const std::string &daemon, const std::string &service, const std::string &key, const std::string &body)
{
    return {.method = "POST",
        .address = daemonNamed(daemon).address("callers"),
        .path = "/v1/services/" + service + "/execute",
        .headers = {{"Authorization", std::string("Bearer ") + customerToken}, {"Idempotency-Key", key}},
        .body = body,
        .timeout = executeTimeout};
}

json fleet_fixture::setPlatformFaults(const json &faults)
{
    return m_client.send("POST", m_platform->address("control"), "/control/faults", faults);
}

json fleet_fixture::platformCounters()
{
    return m_client.get(m_platform->address("control"), "/control/counters");
}

json fleet_fixture::setServerFaults(const json &set, json selector)
{
    selector["set"] = set;
    return serverControl("/control/faults", selector);
}

json fleet_fixture::serverRecords()
{
    return m_client.get(m_servers->address("control"), "/control/records");
}

json fleet_fixture::serverControl(const std::string &path, const json &body)
{
    return m_client.send("POST", m_servers->address("control"), path, body);
}

int fleet_fixture::startCountOf(const std::string &key)
{
    const auto executions = serverRecords()["executions"];
    return executions.contains(key) ? executions[key]["started"].get<int>() : 0;
}

} // namespace daisystile
