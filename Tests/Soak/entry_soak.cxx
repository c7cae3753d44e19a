#include "soak_client.h"

#include <open_listener.h>
#include <Promises/child_process.h>
#include <Promises/test_client.h>
#include <Route/route.h>
#include <StandIns/plain_backend.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr int shardCount = 5;
constexpr int replicaCount = 3;
constexpr int minShards = 4;
constexpr int topRecords = 3;
constexpr int noteServers = 4;
constexpr std::size_t clientCount = 24;
// Time after the last fault for registrations, watches and connections to recover, with their longest retry delays.
constexpr seconds recovery {12};
constexpr seconds drainBound {3};
constexpr seconds configurationBound {3};
constexpr std::size_t maxShownViolations = 20;

std::uint64_t environmentNumber(const char *name, std::uint64_t otherwise)
{
    const auto *text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string shardName(int shard)
{
    return "shard-" + std::to_string(shard);
}

// A shard's answer: a record that is unique to the shard.
std::string recordOf(const std::string &service)
{
    return std::string(recordBytes, static_cast<char>('a' + service.back() - '0'));
}

struct soak_server
{
    std::string service;
    std::unique_ptr<plain_backend> process;
    std::uint64_t born = 1;
    bool draining = false;
    std::size_t runsWhenDrained = 0;
};

struct soak_daemon
{
    std::unique_ptr<child_process> process;
    std::string settingsFile;
    ip_address clients;
    unsigned life = 0;
    /// Killed or paused at any time since this start.
    bool disturbed = false;
    bool terminated = false;
    bool paused = false;
    /// Newest configuration version served since this start.
    int newestServed = 0;
};

/// Runs daemons, the platform stand-in and the fault proxy as processes and injects random faults from a seed.
class entry_soak : public testing::Test
{
protected:
    void run(std::uint64_t seed, seconds length, std::size_t daemons)
    {
        m_random.seed(seed);
        m_foreignRandom.seed(seed);
        std::cout << "soak seed=" << seed << " seconds=" << length.count() << " daemons=" << daemons << std::endl;
        m_folder = std::filesystem::temp_directory_path() / ("soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
        std::filesystem::create_directories(m_folder);
        startPlatform();
        for (std::size_t i = 0; i < daemons; ++i) {
            prepareDaemon(i);
            startDaemon(i);
        }
        for (std::size_t i = 0; i < clientCount; ++i) {
            m_clients.push_back(std::make_unique<soak_client>(m_loop, [this](const soak_request &request) { check(request); }));
        }
        driveClients();
        wait(seconds {2});
        const auto end = m_loop.now() + length;
        while (m_loop.now() < end) {
            faultOnce();
            foreignObject();
            wait(milliseconds {draw(20, 500)});
        }
        endFaults();
        wait(recovery);
        checkRecovered();
        m_stopping = true;
        wait(seconds {2});
        checkNotRun();
        finish(seed);
    }

private:
    // Set-up.

    void startPlatform()
    {
        m_store = std::make_unique<child_process>("platform-standin", std::vector<std::string> {}, (m_folder / "store.err").string());
        ASSERT_TRUE(m_store->waitReady());
        m_proxy = std::make_unique<child_process>("fault-proxy", std::vector<std::string> {}, (m_folder / "proxy.err").string());
        ASSERT_TRUE(m_proxy->waitReady());
        for (int shard = 0; shard < shardCount; ++shard) {
            for (int replica = 0; replica < replicaCount; ++replica) {
                addServer(shardName(shard));
            }
        }
        for (int i = 0; i < noteServers; ++i) {
            addServer("logbook");
        }
        writeConfiguration();
        for (const auto *kind : foreignKinds) {
            putForeign(std::string(kind) + "/x-first", foreignValues().front());
        }
    }

    // Objects of other writers, in each kind that daemons follow.

    static constexpr std::array foreignKinds {"servers", "evacuations", "config", "daisystile-daemons", "daisystile-suspects"};

    static const std::vector<std::string> &foreignValues()
    {
        constexpr std::size_t levels = 100'000;
        static const std::vector<std::string> values {R"({"service":"logbook","state":)" + std::string(levels, '[') + std::string(levels, ']') + "}",
            R"({"zone":"\ud800","domain":"\udfff"})",
            R"({"capacity":1e999,"suspects":[{"crashes":1e999}]})",
            R"([[],{}])",
            R"({"service":")" + std::string(levels, 'x') + R"("})",
            ""};
        return values;
    }

    void putForeign(const std::string &key, const std::string &value)
    {
        m_control.call({.method = "PUT", .address = m_store->address("control"), .path = "/control/objects/" + key, .body = value});
    }

    // Draws of its own, so that the other faults of a seed stay the same.
    void foreignObject()
    {
        const auto choice = m_foreignRandom();
        if (choice % 4 != 0) {
            return;
        }
        const auto kind = foreignKinds[m_foreignRandom() % foreignKinds.size()];
        const auto &value = foreignValues()[m_foreignRandom() % foreignValues().size()];
        putForeign(std::string(kind) + "/x-" + std::to_string(m_foreignRandom() % 3), value);
    }

    ip_address link(const std::string &name, const ip_address &target, const std::string &group)
    {
        const auto made =
            m_control.send("POST", m_proxy->address("control"), "/links", json::array({{{"name", name}, {"target", toString(target)}, {"groups", {group}}}}));
        return leaf::try_handle_all([&]() -> leaf::result<ip_address> { return parseIpAddress(made.at(0).at("address").get<std::string>()); },
            [] {
                ADD_FAILURE() << "the fault proxy created no link";
                return ip_address {};
            });
    }

    void addServer(const std::string &service)
    {
        const auto index = m_servers.size();
        const auto id = service + "-" + std::to_string(index);
        m_servers.push_back({service, std::make_unique<plain_backend>(id, service == "logbook" ? "written" : recordOf(service))});
        m_addresses.push_back(link("server-" + std::to_string(index), m_servers.back().process->address(), "servers"));
        putServer(index);
    }

    void putServer(std::size_t index)
    {
        const auto &server = m_servers[index];
        putObject("servers/" + server.process->id(),
            {{"service", server.service},
                {"address", toString(m_addresses[index])},
                {"zone", server.service == shardName(shardCount - 1) || index % 2 != 0 ? "medina" : "port"},
                {"version", "v1"},
                {"capacity", 4},
                {"state", server.draining ? "draining" : "ready"},
                {"warmup_left_ms", 0},
                {"sequence", 1},
                {"born", server.born}});
    }

    void putObject(const std::string &key, const json &value)
    {
        m_control.send("PUT", m_store->address("control"), "/control/objects/" + key, value);
    }

    static json routeOf(const std::string &prefix, const std::string &kind, const json &target)
    {
        json entry {{"name", "r" + prefix},
            {"hostname", "search.example"},
            {"path_prefix", prefix},
            {"route_type", kind},
            {"timeout_ms", 1500},
            {"target_latency_ms", 200},
            {"priority", 1},
            {"max_attempts", 2},
            {"top_k", topRecords},
            {"min_part_share", static_cast<double>(minShards) / shardCount}};
        entry.update(target);
        return entry;
    }

    // Each version has a route that no other version has.
    void writeConfiguration()
    {
        m_version += static_cast<int>(draw(1, 3));
        putConfiguration();
        m_versions.push_back(m_version);
    }

    void putConfiguration()
    {
        json shards = json::array();
        json services = json::array({{{"name", "logbook"}, {"max_connections", 200}}});
        for (int shard = 0; shard < shardCount; ++shard) {
            shards.push_back(shardName(shard));
            services.push_back({{"name", shards.back()}, {"max_connections", 200}});
        }
        putObject("config/main",
            {{"version", m_version},
                {"routes",
                    {routeOf("/find/", "idempotent", {{"fanout_services", shards}}),
                        routeOf("/read/", "idempotent", {{"service", "logbook"}}),
                        routeOf("/note/", "non_idempotent", {{"service", "logbook"}}),
                        routeOf("/v" + std::to_string(m_version) + "/", "idempotent", {{"service", "logbook"}})}},
                {"services", services},
                {"limits", {{"max_header_bytes", 4096}, {"max_body_bytes", 10000}, {"header_timeout_ms", 1000}, {"idle_timeout_ms", 15000}}}});
    }

    void prepareDaemon(std::size_t index)
    {
        soak_daemon daemon;
        const auto store = link("store-" + std::to_string(index), m_store->address("http"), "store");
        daemon.settingsFile = (m_folder / ("daemon-" + std::to_string(index) + ".toml")).string();
        std::ofstream(daemon.settingsFile) << "id = \"d" << index << "\"\nfailure_domain = \"" << (index % 2 == 0 ? "port" : "medina")
                                           << "\"\nregion = \"sfax\"\nclients = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\npeers = \"127.0.0.1:"
                                           << open_listener(0).listenAddress().port << "\"\nqueries = \"127.0.0.1:" << open_listener(0).listenAddress().port
                                           << "\"\nstrength = " << (index < 2 ? 1.0 : 0.2) << "\nstore = \"" << toString(store) << "\"\ngrace_ms = 6000\n";
        m_daemons.push_back(std::move(daemon));
    }

    void startDaemon(std::size_t index)
    {
        auto &daemon = m_daemons[index];
        daemon.process = std::make_unique<child_process>("daisystiled",
            std::vector<std::string> {"--front-door", "plain", "--config", daemon.settingsFile},
            (m_folder / ("daemon-" + std::to_string(index) + ".err")).string());
        ASSERT_TRUE(daemon.process->waitReady());
        daemon.clients = daemon.process->address("clients");
        daemon.life += 1;
        daemon.disturbed = false;
        daemon.terminated = false;
        daemon.paused = false;
        daemon.newestServed = 0;
    }

    // Load.

    void driveClients()
    {
        if (m_stopping) {
            return;
        }
        for (const auto &client : m_clients) {
            if (!client->busy()) {
                sendOne(*client);
            }
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            auto &daemon = m_daemons[i];
            m_logs << daemon.process->readOutput();
            if (!daemon.terminated && !daemon.disturbed && !daemon.process->running()) {
                daemon.disturbed = true;
                m_violations.push_back("daemon " + std::to_string(i) + " ended by itself");
            }
        }
        m_loop.after(milliseconds {20}, [this] { driveClients(); });
    }

    void sendOne(soak_client &client)
    {
        const auto index = static_cast<std::size_t>(draw(0, m_daemons.size() - 1));
        const auto &daemon = m_daemons[index];
        soak_request request;
        request.id = "q" + std::to_string(m_nextRequest++);
        request.daemon = index;
        request.life = daemon.life;
        request.method = "GET";
        const auto kind = draw(0, 9);
        if (kind < 5) {
            request.path = "/find/x";
        } else if (kind < 8) {
            request.method = "POST";
            request.path = "/note/x";
            m_notes.insert(request.id);
        } else if (kind < 9) {
            request.path = "/read/x";
        } else {
            request.path = "/v" + std::to_string(m_versions[draw(0, m_versions.size() - 1)]) + "/x";
        }
        client.send(std::move(request), daemon.clients);
    }

    // Checks.

    static std::string describe(const soak_request &request)
    {
        std::string text;
        for (const auto *name : {"Part-Stamps", "Missing-Parts", "Server-Stamp", "Request-Id"}) {
            const auto *value = request.answer ? request.answer->header(name) : nullptr;
            text += value == nullptr ? "" : " " + std::string(name) + "=" + *value;
        }
        return text + (request.answer ? " body=" + request.answer->body.substr(0, 100) : "");
    }

    void violation(const soak_request &request, const std::string &what)
    {
        m_violations.push_back(what + ": " + request.method + " " + request.path + " id=" + request.id + " daemon=" + std::to_string(request.daemon)
            + " status=" + (request.answer ? std::to_string(request.answer->status) : "none") + describe(request));
    }

    void check(const soak_request &request)
    {
        m_counts[request.answer ? request.answer->status : 0] += 1;
        if (!request.answer) {
            checkUnanswered(request);
            return;
        }
        const auto status = request.answer->status;
        if (status == -1) {
            violation(request, "malformed answer");
        } else if (status == 429 || status == 503 || status == 408 || status == 421) {
            m_promisedNotRun.insert(request.id);
        } else if (request.path.starts_with("/v")) {
            checkVersion(request);
        } else if (status == 404) {
            violation(request, "a route that every version has was not found");
        } else if (status == 200 && request.path.starts_with("/find/")) {
            checkQuery(request);
        } else if (status == 200) {
            checkSingle(request);
        }
    }

    // A daemon that keeps running must answer every request that it forwarded.
    void checkUnanswered(const soak_request &request)
    {
        const auto &daemon = m_daemons[request.daemon];
        if (daemon.life == request.life && !daemon.disturbed && !daemon.terminated && runsOf(request.id) > 0) {
            violation(request, "forwarded but not answered");
        }
    }

    void checkSingle(const soak_request &request)
    {
        const auto *id = request.answer->header("Request-Id");
        if (id == nullptr || *id != request.id || request.answer->body != "written") {
            violation(request, "another request's answer");
        }
        const auto *receipt = request.answer->header("Server-Stamp");
        if (receipt == nullptr || !receipt->starts_with("logbook-")) {
            violation(request, "another service's answer");
        }
    }

    void checkQuery(const soak_request &request)
    {
        std::set<std::string> services;
        std::size_t parts = 0;
        const auto *receipts = request.answer->header("Part-Stamps");
        std::string_view rest;
        if (receipts != nullptr) {
            rest = *receipts;
        }
        while (!rest.empty()) {
            const auto receipt = trimmed(rest.substr(0, rest.find(',')));
            rest.remove_prefix(std::min(rest.size(), rest.find(',') == std::string_view::npos ? rest.size() : rest.find(',') + 1));
            services.insert(std::string(receipt.substr(0, shardName(0).size())));
            parts += 1;
        }
        const auto *missing = request.answer->header("Missing-Parts");
        const auto left = missing == nullptr ? 0 : std::strtoul(missing->c_str(), nullptr, 10);
        if (services.size() != parts || parts + left != shardCount || parts < minShards) {
            violation(request, "reported coverage is wrong");
        }
        std::string expected;
        for (auto service = services.rbegin(); service != services.rend() && expected.size() < topRecords * recordBytes; ++service) {
            expected += recordOf(*service);
        }
        if (request.answer->body != expected) {
            violation(request, "records don't match the answered parts");
        }
    }

    // A daemon process that has served a version must not serve an older one afterwards.
    void checkVersion(const soak_request &request)
    {
        auto &daemon = m_daemons[request.daemon];
        const int version = std::atoi(request.path.c_str() + 2);
        if (request.answer->status != 200 || daemon.life != request.life) {
            return;
        }
        const bool mayPredateUpdate = m_loop.now() - request.sentAt > milliseconds {250};
        if (version < daemon.newestServed && !mayPredateUpdate) {
            violation(request, "version " + std::to_string(daemon.newestServed) + " was replaced by an older one");
        }
        daemon.newestServed = std::max(daemon.newestServed, version);
    }

    int runsOf(const std::string &id) const
    {
        int runs = 0;
        for (const auto &server : m_servers) {
            const auto all = server.process->runs();
            const auto found = all.find(id);
            runs += found == all.end() ? 0 : found->second;
        }
        return runs;
    }

    std::map<std::string, int> allRuns() const
    {
        std::map<std::string, int> runs;
        for (const auto &server : m_servers) {
            for (const auto &[id, count] : server.process->runs()) {
                runs[id] += count;
            }
        }
        return runs;
    }

    void checkNotRun()
    {
        const auto runs = allRuns();
        for (const auto &id : m_notes) {
            const auto found = runs.find(id);
            const int count = found == runs.end() ? 0 : found->second;
            if (count > 1) {
                m_violations.push_back("ran " + std::to_string(count) + " times: " + id);
            }
            if (count > 0 && m_promisedNotRun.contains(id)) {
                m_violations.push_back("ran although it was refused: " + id);
            }
        }
    }

    // After the faults, every daemon must serve requests with the newest configuration and send none to draining servers.
    void checkRecovered()
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            const auto path = "/v" + std::to_string(m_version) + "/end";
            const auto find = askOnce(i, "/find/end");
            const auto read = askOnce(i, path);
            if (find != 200 || read != 200) {
                m_violations.push_back(
                    "daemon " + std::to_string(i) + " has not recovered: " + std::to_string(find) + ", " + std::to_string(read) + " at " + path);
            }
        }
        for (const auto &server : m_servers) {
            if (server.draining && server.process->runs().size() > server.runsWhenDrained) {
                m_violations.push_back("got requests after draining: " + server.process->id());
            }
        }
    }

    int askOnce(std::size_t daemon, const std::string &path)
    {
        http_call call {.address = m_daemons[daemon].clients, .path = path, .timeout = seconds {3}};
        call.headers = {{"Host", "search.example"}, {"Request-Id", "end" + std::to_string(m_nextRequest++)}, {"Deadline-Ms", "1500"}};
        return statusOf(m_control.call(std::move(call)));
    }

    void finish(std::uint64_t seed)
    {
        for (const auto &[status, count] : m_counts) {
            std::cout << "  " << (status == 0 ? "no answer" : std::to_string(status)) << ": " << count;
        }
        std::cout << "  store restored: " << m_restores << std::endl;
        EXPECT_GT(m_counts[200], 0U);
        for (std::size_t i = 0; i < std::min(m_violations.size(), maxShownViolations); ++i) {
            ADD_FAILURE() << m_violations[i];
        }
        if (m_violations.empty()) {
            m_daemons.clear();
            std::filesystem::remove_all(m_folder);
            return;
        }
        const auto file = m_folder / "daemons.log";
        std::ofstream(file) << m_logs.str();
        std::cout << m_violations.size() << " violations; seed " << seed << ", logs in " << m_folder.string() << std::endl;
    }

    // Faults. Each is undone after a random time, so they overlap.

    std::uint64_t draw(std::uint64_t least, std::uint64_t most)
    {
        return std::uniform_int_distribution<std::uint64_t>(least, most)(m_random);
    }

    milliseconds drawDuration()
    {
        return milliseconds {draw(200, 3000)};
    }

    void wait(milliseconds time)
    {
        m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    void setStore(const json &faults)
    {
        m_control.send("POST", m_store->address("control"), "/control/faults", faults);
    }

    void setLinks(const json &which, const json &faults)
    {
        json body = which;
        body["set"] = faults;
        m_control.send("POST", m_proxy->address("control"), "/control/faults", body);
    }

    void faultOnce()
    {
        switch (draw(0, 11)) {
        case 0:
            stopDaemon(SIGKILL);
            return;
        case 1:
            stopDaemon(SIGTERM);
            return;
        case 2:
            pauseDaemon();
            return;
        case 3:
            m_daemons[draw(0, m_daemons.size() - 1)].process->signal(SIGHUP);
            return;
        case 4:
        case 5:
        case 6:
            serverFault();
            return;
        case 7:
            storeFault();
            return;
        case 8:
            linkFault("server-" + std::to_string(draw(0, m_servers.size() - 1)));
            return;
        case 9:
            linkFault("store-" + std::to_string(draw(0, m_daemons.size() - 1)));
            return;
        case 10:
            replaceServer();
            return;
        default:
            for (auto left = draw(1, 4); left > 0; --left) {
                writeConfiguration();
            }
        }
    }

    void stopDaemon(int how)
    {
        const auto index = static_cast<std::size_t>(draw(0, m_daemons.size() - 1));
        auto &daemon = m_daemons[index];
        if (daemon.terminated || daemon.disturbed || daemon.paused) {
            return;
        }
        (how == SIGKILL ? daemon.disturbed : daemon.terminated) = true;
        daemon.process->signal(how);
        restartWhenGone(index, daemon.life);
    }

    void restartWhenGone(std::size_t index, unsigned life)
    {
        m_loop.after(milliseconds {100}, [this, index, life] {
            auto &daemon = m_daemons[index];
            if (daemon.life != life) {
                return;
            }
            if (daemon.process->running()) {
                restartWhenGone(index, life);
                return;
            }
            const auto status = daemon.process->waitExit(milliseconds {0});
            if (daemon.terminated && !daemon.disturbed && status != 0) {
                m_violations.push_back("daemon " + std::to_string(index) + " ended with status " + std::to_string(status.value_or(-1)));
            }
            startDaemon(index);
        });
    }

    void pauseDaemon()
    {
        const auto index = static_cast<std::size_t>(draw(0, m_daemons.size() - 1));
        auto &daemon = m_daemons[index];
        if (daemon.terminated || daemon.disturbed || daemon.paused) {
            return;
        }
        daemon.paused = true;
        daemon.disturbed = true;
        daemon.process->pause();
        m_loop.after(drawDuration(), [this, index, life = daemon.life] {
            if (m_daemons[index].life == life) {
                m_daemons[index].process->resume();
                m_daemons[index].paused = false;
            }
        });
    }

    void serverFault()
    {
        static constexpr std::array modes {backend_response_mode::not_executed,
            backend_response_mode::close_without_response,
            backend_response_mode::no_response,
            backend_response_mode::duplicate_response,
            backend_response_mode::truncate,
            backend_response_mode::other_server,
            backend_response_mode::failing};
        const auto index = draw(0, m_servers.size() - 1);
        auto &server = *m_servers[index].process;
        if (draw(0, 3) == 0) {
            server.setDelay(milliseconds {draw(20, 400)});
        } else {
            server.setResponseMode(modes[draw(0, modes.size() - 1)]);
        }
        m_loop.after(drawDuration(), [this, index] {
            m_servers[index].process->setResponseMode(backend_response_mode::normal);
            m_servers[index].process->setDelay(milliseconds {0});
        });
    }

    void storeFault()
    {
        static constexpr std::array outages {"reset", "unavailable", "busy", "hang"};
        switch (draw(0, 4)) {
        case 0:
            setStore({{"down", outages[draw(0, outages.size() - 1)]}});
            break;
        case 1:
            setStore({{"slow_ms", draw(20, 300)}});
            break;
        case 2:
            setStore({{"lose_answers_probability", 0.3}});
            break;
        case 3:
            restoreStore();
            return;
        default:
            m_control.send("POST", m_store->address("control"), "/control/compact", json::object());
            return;
        }
        m_loop.after(drawDuration(), [this] { endStoreFaults(); });
    }

    // Servers and operators write again what the copy lacks; daemons do so themselves.
    void restoreStore()
    {
        constexpr milliseconds minRewriteDelay {100};
        constexpr milliseconds maxRewriteDelay {1500};
        m_restores += 1;
        const auto away = draw(0, 1500);
        m_control.send("POST", m_store->address("control"), "/control/restore", {{"age_ms", draw(0, 5000)}, {"away_ms", away}});
        const auto delay = draw(minRewriteDelay.count(), maxRewriteDelay.count());
        m_loop.after(milliseconds {away + delay}, [this] {
            putConfiguration();
            for (std::size_t i = 0; i < m_servers.size(); ++i) {
                putServer(i);
            }
        });
    }

    void endStoreFaults()
    {
        setStore({{"down", "none"}, {"slow_ms", 0}, {"lose_answers_probability", 0.0}});
    }

    void linkFault(const std::string &name)
    {
        const json which {{"links", {name}}};
        switch (draw(0, 5)) {
        case 0:
            setLinks(which, {{"cut_forward", true}});
            break;
        case 1:
            setLinks(which, {{"cut_backward", true}});
            break;
        case 2:
            setLinks(which, {{"half_open", true}});
            break;
        case 3:
            setLinks(which, {{"refuse", true}, {"reset", true}});
            break;
        case 4:
            setLinks(which, {{"delay_ms", draw(5, 200)}});
            break;
        default:
            setLinks(which, {{"reset", true}});
            return;
        }
        m_loop.after(drawDuration(), [this, which] { setLinks(which, {{"clear", true}, {"reset", true}}); });
    }

    // Starts a new server of the service and drains the old one.
    void replaceServer()
    {
        const auto index = static_cast<std::size_t>(draw(0, m_servers.size() - 1));
        if (m_servers[index].draining || m_servers.size() > 40) {
            return;
        }
        addServer(m_servers[index].service);
        m_servers[index].draining = true;
        putServer(index);
    }

    void endFaults()
    {
        endStoreFaults();
        setLinks(json::object(), {{"clear", true}, {"reset", true}});
        for (auto &server : m_servers) {
            server.process->setResponseMode(backend_response_mode::normal);
            server.process->setDelay(milliseconds {0});
        }
        writeConfiguration();
        m_loop.after(drainBound + configurationBound, [this] {
            for (auto &server : m_servers) {
                server.runsWhenDrained = server.process->runs().size();
            }
        });
    }

    reactor m_loop;
    test_client m_control;
    pcg64 m_random;
    pcg64 m_foreignRandom;
    std::filesystem::path m_folder;
    std::unique_ptr<child_process> m_store;
    std::unique_ptr<child_process> m_proxy;
    std::vector<soak_server> m_servers;
    std::vector<ip_address> m_addresses;
    std::vector<soak_daemon> m_daemons;
    std::vector<std::unique_ptr<soak_client>> m_clients;
    std::vector<int> m_versions;
    int m_version = 0;
    std::uint64_t m_nextRequest = 1;
    std::set<std::string> m_notes;
    std::set<std::string> m_promisedNotRun;
    std::map<int, std::uint64_t> m_counts;
    std::vector<std::string> m_violations;
    unsigned m_restores = 0;
    std::ostringstream m_logs;
    bool m_stopping = false;
};

} // namespace

// SOAK_SEED, SOAK_SECONDS and SOAK_DAEMONS select another run: SOAK_SEED=7 SOAK_SECONDS=60 build/dev/bin/entry_soak
TEST_F(entry_soak, keepsThePromisesUnderFaults)
{
    run(environmentNumber("SOAK_SEED", 1), seconds {environmentNumber("SOAK_SECONDS", 15)}, environmentNumber("SOAK_DAEMONS", 3));
}
