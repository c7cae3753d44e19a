#pragma once

#include "child_process.h"
#include "test_client.h"

#include <StandIns/plain_backend.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace daisystile {

/// Daemons with the plain HTTP front end in three failure domains as processes, the platform stand-in, and backend servers of the
/// service "logbook" and of the shards "shard-N". Route "/read/" leads to the service, "/find/" to all shards.
class plain_fleet
{
public:
    static constexpr const char *host = "search.example";
    static constexpr int domainCount = 3;
    static constexpr const char *operatorToken = "operator-token";

    struct layout
    {
        int daemons = 6;
        int logbookServers = 0;
        int shards = 0;
        int serversPerShard = 3;
        /// The number of failure domains that have servers.
        int serverDomains = domainCount;
        /// Requests per second that a cold server takes from all daemons together; 0 if cold servers need no care.
        double coldRequestsPerSecond = 0;
        /// Bytes of the answer of each server.
        std::size_t answerBytes = 16;
        /// Limits of the configuration.
        int headBytes = 4096;
        int bodyBytes = 10000;
        int headTimeoutMs = 1000;
        /// Lines that are added to the settings of each daemon.
        std::string settings;
        /// 0 if versions aren't told apart.
        double exposureShare = 0;
        /// Client accounts of the configuration, as operators write them; null for none.
        nlohmann::json accounts;
        /// Time within which keys that are taken away stop working everywhere; 0 if they may work on.
        milliseconds revocation {0};
    };

    struct server
    {
        std::string service;
        failure_domain_name domain;
        std::unique_ptr<plain_backend> process;
        std::string software;
    };

    explicit plain_fleet(const layout &size);
    ~plain_fleet();
    plain_fleet(const plain_fleet &) = delete;
    plain_fleet &operator=(const plain_fleet &) = delete;

    /// False if a program could not be started or a daemon does not become ready.
    bool start();
    /// The parts of start(): the store alone, then the servers and the daemons, which needn't become ready.
    bool startStore();
    bool startProcesses();
    bool waitUntilReady();
    bool startDaemon(std::size_t index);
    void killDaemon(std::size_t index);
    bool daemonReady(std::size_t index);
    ip_address clientsAddress(std::size_t index) const;
    ip_address readinessAddress(std::size_t index) const;
    /// Where the daemon listens for other daemons: "peers" or "queries".
    ip_address daemonsAddress(std::size_t index, const std::string &name) const;
    std::size_t daemonCount() const;
    int daemonProcess(std::size_t index) const;
    const std::string &settingsFile(std::size_t index) const;
    /// Reads the output of the daemons, so that their pipes don't fill up; keeps it for logs().
    void drainOutput();
    const std::string &logs() const;

    std::vector<server> &servers();
    /// Starts a server of this version of the software beside the others.
    plain_backend &addServer(const std::string &service, std::size_t place, const std::string &software);
    /// Starts another process in the place of one that has ended, with a new id, and removes the entry of the old one.
    void replaceServer(std::size_t index);
    void setFatalPath(const std::string &prefix);
    void setDelay(milliseconds delay);
    void setExtraHeaders(std::size_t index, const std::string &lines);
    /// When requests with the fatal path arrived at any server, in order of time.
    std::vector<monotonic_time> fatalArrivals() const;
    /// Server processes that have ended.
    std::size_t endedServers() const;
    /// Writes an object into the store as another writer would; the value goes in as it stands.
    void putText(const std::string &key, const std::string &value);
    /// The object's value, or nothing if there is none.
    std::string textOf(const std::string &key);
    ip_address storeAddress() const;
    /// Number of watches that daemons have open at the store.
    std::size_t waitingWatches();
    void removeObject(const std::string &key);
    /// Writes the entry of a server again, as cold for this long.
    void registerServer(std::size_t index, milliseconds coldLeft);
    /// Writes the entry of a server that is about to end.
    void drainServer(std::size_t index);
    /// Writes a version of the configuration in which this route leads to the service "logbook" too.
    void writeConfiguration(int version, const std::string &furtherRoute);
    std::uint64_t storeRevision();
    /// The store is away for this long and comes back from a copy that was made at the revision.
    void restoreStore(std::uint64_t revision, milliseconds away);
    /// Cuts the daemons of these failure domains off from the store, and no others.
    void cutDomainsFromStore(const std::vector<std::string> &domains);
    /// Writes a newer configuration with these client accounts.
    void setAccounts(const nlohmann::json &accounts);
    /// Writes a newer configuration with these limits on the requests of clients.
    void setLimits(int headBytes, int bodyBytes);
    /// Turns the store off or on.
    void setStoreDown(bool down);
    test_client &control();

private:
    /// The table of bounds in the settings, if there is any.
    std::string boundsText() const;
    void putServer(const server &entry, milliseconds coldLeft, const std::string &state = "ready");
    server makeServer(const std::string &service, const failure_domain_name &domain, const std::string &software);
    void putObject(const std::string &key, const nlohmann::json &value);

    layout m_size;
    std::filesystem::path m_folder;
    test_client m_control;
    std::unique_ptr<child_process> m_store;
    std::vector<std::string> m_settings;
    std::vector<std::unique_ptr<child_process>> m_daemons;
    std::vector<server> m_servers;
    // Processes that have ended; their records are still read.
    std::vector<std::unique_ptr<plain_backend>> m_endedServers;
    std::string m_fatalPath;
    milliseconds m_delay {2};
    std::string m_logs;
    int m_nextServer = 0;
    int m_sequence = 0;
    int m_version = 1;
};

} // namespace daisystile
