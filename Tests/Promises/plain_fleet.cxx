#include "plain_fleet.h"

#include <open_listener.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace daisystile {

using nlohmann::json;

namespace {

constexpr std::array<const char *, plain_fleet::domainCount> domainNames {"medina", "port", "sakiet"};
constexpr const char *firstSoftware = "v1";
constexpr int topRecords = 3;
constexpr int connectionsPerServer = 200;

std::string shardName(int shard)
{
    return "shard-" + std::to_string(shard);
}

json routeOf(const std::string &prefix, const json &target)
{
    json entry {{"name", "r" + prefix},
        {"hostname", plain_fleet::host},
        {"path_prefix", prefix},
        {"route_type", "idempotent"},
        {"timeout_ms", 1500},
        {"target_latency_ms", 200},
        {"priority", 1},
        {"max_attempts", 2},
        {"top_k", topRecords},
        {"min_part_share", 0.75}};
    entry.update(target);
    return entry;
}

} // namespace

plain_fleet::plain_fleet(const layout &size)
    : m_size(size),
      m_folder(
          std::filesystem::temp_directory_path() / ("fleet-" + std::to_string(getpid()) + "-" + testing::UnitTest::GetInstance()->current_test_info()->name()))
{
    std::filesystem::create_directories(m_folder);
}

// The logs of a failed test are kept; KEEP_LOGS keeps all.
plain_fleet::~plain_fleet()
{
    drainOutput();
    m_daemons.clear();
    if (testing::Test::HasFailure() || std::getenv("KEEP_LOGS") != nullptr) {
        std::ofstream(m_folder / "daemons.log") << m_logs;
        std::cout << "logs in " << m_folder.string() << std::endl;
    } else {
        std::filesystem::remove_all(m_folder);
    }
}

bool plain_fleet::startStore()
{
    m_store = std::make_unique<child_process>("platform-standin", std::vector<std::string> {}, (m_folder / "store.err").string());
    return m_store->waitReady();
}

bool plain_fleet::start()
{
    return (m_store || startStore()) && startProcesses() && waitUntilReady();
}

std::string plain_fleet::boundsText() const
{
    std::string text;
    if (m_size.exposureShare > 0) {
        text += "exposure_share = " + std::to_string(m_size.exposureShare) + "\n";
    }
    if (m_size.revocation.count() > 0) {
        text += "strict_revocation = true\nrevocation_ms = " + std::to_string(m_size.revocation.count()) + "\n";
    }
    return text.empty() ? text : "[bounds]\n" + text;
}

bool plain_fleet::startProcesses()
{
    for (int i = 0; i < m_size.logbookServers; ++i) {
        addServer("logbook", static_cast<std::size_t>(i), firstSoftware);
    }
    for (int shard = 0; shard < m_size.shards; ++shard) {
        for (int i = 0; i < m_size.serversPerShard; ++i) {
            addServer(shardName(shard), static_cast<std::size_t>(i), firstSoftware);
        }
    }
    writeConfiguration(1, {});
    m_daemons.resize(static_cast<std::size_t>(m_size.daemons));
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        const auto file = (m_folder / ("daemon-" + std::to_string(i) + ".toml")).string();
        std::ofstream(file) << "id = \"d" << i << "\"\nfailure_domain = \"" << domainNames[i % domainCount]
                            << "\"\nregion = \"sfax\"\nclients = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\npeers = \"127.0.0.1:"
                            << open_listener(0).listenAddress().port << "\"\nqueries = \"127.0.0.1:" << open_listener(0).listenAddress().port
                            << "\"\nstrength = 1.0\nstore = \"" << toString(m_store->address("http")) << "\"\ngrace_ms = 6000\noperator_token_sha256 = \""
                            << sha256Hex(operatorToken) << "\"\n"
                            << m_size.settings << boundsText();
        m_settings.push_back(file);
        if (!startDaemon(i)) {
            return false;
        }
    }
    return true;
}

bool plain_fleet::waitUntilReady()
{
    return m_control.waitUntil([this] {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (!daemonReady(i)) {
                return false;
            }
        }
        return true;
    });
}

bool plain_fleet::startDaemon(std::size_t index)
{
    m_daemons[index] = std::make_unique<child_process>("daisystiled",
        std::vector<std::string> {"--front-door", "plain", "--config", m_settings[index]},
        (m_folder / ("daemon-" + std::to_string(index) + ".err")).string());
    return m_daemons[index]->waitReady();
}

void plain_fleet::killDaemon(std::size_t index)
{
    m_daemons[index]->signal(SIGKILL);
    m_daemons[index]->waitExit(seconds {5});
}

bool plain_fleet::daemonReady(std::size_t index)
{
    return statusOf(m_control.call({.address = readinessAddress(index), .path = "/v1/readyz", .timeout = seconds {1}})) == 200;
}

ip_address plain_fleet::clientsAddress(std::size_t index) const
{
    return m_daemons[index]->address("clients");
}

ip_address plain_fleet::readinessAddress(std::size_t index) const
{
    return m_daemons[index]->address("readiness");
}

ip_address plain_fleet::daemonsAddress(std::size_t index, const std::string &name) const
{
    std::ifstream file(m_settings[index]);
    const auto start = name + " = \"";
    std::string line;
    while (std::getline(file, line) && !line.starts_with(start)) { }
    const auto text = line.substr(std::min(start.size(), line.size()));
    return parseIpAddress(text.substr(0, text.find('"'))).value();
}

std::size_t plain_fleet::daemonCount() const
{
    return m_daemons.size();
}

int plain_fleet::daemonProcess(std::size_t index) const
{
    return m_daemons[index]->pid();
}

const std::string &plain_fleet::settingsFile(std::size_t index) const
{
    return m_settings[index];
}

void plain_fleet::drainOutput()
{
    for (const auto &daemon : m_daemons) {
        if (daemon) {
            m_logs += daemon->readOutput();
        }
    }
}

const std::string &plain_fleet::logs() const
{
    return m_logs;
}

std::vector<plain_fleet::server> &plain_fleet::servers()
{
    return m_servers;
}

plain_fleet::server plain_fleet::makeServer(const std::string &service, const failure_domain_name &domain, const std::string &software)
{
    const auto id = service + "-" + std::to_string(m_nextServer++);
    server entry {service, domain, std::make_unique<plain_backend>(id, std::string(m_size.answerBytes, service.back())), software};
    entry.process->setFatalPath(m_fatalPath);
    entry.process->setDelay(m_delay);
    putServer(entry, milliseconds {0});
    return entry;
}

void plain_fleet::putServer(const server &entry, milliseconds coldLeft, const std::string &state)
{
    putObject("servers/" + entry.process->id(),
        {{"service", entry.service},
            {"address", toString(entry.process->address())},
            {"zone", entry.domain.value},
            {"version", entry.software},
            {"capacity", 4},
            {"state", state},
            {"warmup_left_ms", coldLeft.count()},
            {"sequence", ++m_sequence},
            {"born", entry.software == firstSoftware ? 1 : 2}});
}

void plain_fleet::registerServer(std::size_t index, milliseconds coldLeft)
{
    putServer(m_servers[index], coldLeft);
}

void plain_fleet::drainServer(std::size_t index)
{
    putServer(m_servers[index], milliseconds {0}, "draining");
}

plain_backend &plain_fleet::addServer(const std::string &service, std::size_t place, const std::string &software)
{
    const failure_domain_name domain {domainNames[place % static_cast<std::size_t>(m_size.serverDomains)]};
    m_servers.push_back(makeServer(service, domain, software));
    return *m_servers.back().process;
}

void plain_fleet::replaceServer(std::size_t index)
{
    auto &entry = m_servers[index];
    removeObject("servers/" + entry.process->id());
    m_endedServers.push_back(std::move(entry.process));
    entry = makeServer(entry.service, entry.domain, entry.software);
}

void plain_fleet::setFatalPath(const std::string &prefix)
{
    m_fatalPath = prefix;
    for (const auto &entry : m_servers) {
        entry.process->setFatalPath(prefix);
    }
}

void plain_fleet::setDelay(milliseconds delay)
{
    m_delay = delay;
    for (const auto &entry : m_servers) {
        entry.process->setDelay(delay);
    }
}

void plain_fleet::setExtraHeaders(std::size_t index, const std::string &lines)
{
    m_servers[index].process->setExtraHeaders(lines);
}

std::vector<monotonic_time> plain_fleet::fatalArrivals() const
{
    std::vector<monotonic_time> all;
    const auto add = [&all](const plain_backend &process) {
        const auto some = process.fatalArrivals();
        all.insert(all.end(), some.begin(), some.end());
    };
    for (const auto &entry : m_servers) {
        add(*entry.process);
    }
    for (const auto &process : m_endedServers) {
        add(*process);
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::size_t plain_fleet::endedServers() const
{
    const auto ended = std::count_if(m_servers.begin(), m_servers.end(), [](const auto &entry) { return entry.process->ended(); });
    return m_endedServers.size() + static_cast<std::size_t>(ended);
}

void plain_fleet::setStoreDown(bool down)
{
    m_control.send("POST", m_store->address("control"), "/control/faults", {{"down", down ? "unavailable" : "none"}});
}

test_client &plain_fleet::control()
{
    return m_control;
}

std::uint64_t plain_fleet::storeRevision()
{
    return m_control.get(m_store->address("control"), "/control/counters").value("revision", std::uint64_t {0});
}

void plain_fleet::restoreStore(std::uint64_t revision, milliseconds away)
{
    m_control.send("POST", m_store->address("control"), "/control/restore", {{"revision", revision}, {"away_ms", away.count()}});
}

void plain_fleet::cutDomainsFromStore(const std::vector<std::string> &domains)
{
    m_control.send("POST", m_store->address("control"), "/control/faults", {{"cut_domains", domains}});
}

void plain_fleet::writeConfiguration(int version, const std::string &furtherRoute)
{
    json shards = json::array();
    json services = json::array({{{"name", "logbook"}, {"max_connections", connectionsPerServer}, {"warmup_per_s", m_size.coldRequestsPerSecond}}});
    json routes = json::array({routeOf("/read/", {{"service", "logbook"}})});
    for (int shard = 0; shard < m_size.shards; ++shard) {
        shards.push_back(shardName(shard));
        services.push_back({{"name", shards.back()}, {"max_connections", connectionsPerServer}});
    }
    if (!furtherRoute.empty()) {
        routes.push_back(routeOf(furtherRoute, {{"service", "logbook"}}));
    }
    if (m_size.shards > 0) {
        routes.push_back(routeOf("/find/", {{"fanout_services", shards}}));
    }
    json configuration {{"version", version},
        {"routes", routes},
        {"services", services},
        {"limits",
            {{"max_header_bytes", m_size.headBytes},
                {"max_body_bytes", m_size.bodyBytes},
                {"header_timeout_ms", m_size.headTimeoutMs},
                {"idle_timeout_ms", 15000}}}};
    if (!m_size.accounts.is_null()) {
        configuration["tenants"] = m_size.accounts;
    }
    putObject("config/main", configuration);
}

void plain_fleet::setAccounts(const json &accounts)
{
    m_size.accounts = accounts;
    writeConfiguration(++m_version, {});
}

void plain_fleet::setLimits(int headBytes, int bodyBytes)
{
    m_size.headBytes = headBytes;
    m_size.bodyBytes = bodyBytes;
    writeConfiguration(++m_version, {});
}

void plain_fleet::putObject(const std::string &key, const json &value)
{
    putText(key, value.dump());
}

std::size_t plain_fleet::waitingWatches()
{
    return m_control.get(m_store->address("control"), "/control/counters").value("watches_waiting", std::size_t {0});
}

std::string plain_fleet::textOf(const std::string &key)
{
    const auto result = m_control.call({.address = m_store->address("control"), .path = "/control/objects/" + key});
    return statusOf(result) == 200 ? std::get<http_reply>(result).body : "";
}

ip_address plain_fleet::storeAddress() const
{
    return m_store->address("http");
}

void plain_fleet::removeObject(const std::string &key)
{
    m_control.call({.method = "DELETE", .address = m_store->address("control"), .path = "/control/objects/" + key});
}

void plain_fleet::putText(const std::string &key, const std::string &value)
{
    m_control.call({.method = "PUT", .address = m_store->address("control"), .path = "/control/objects/" + key, .body = value});
}

} // namespace daisystile
