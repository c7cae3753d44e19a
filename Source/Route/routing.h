#pragma once

#include "client_account.h"
#include "key_directory.h"

#include <Process/process.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace daisystile {

/// Name of a route in the configuration.
using route_name = strong_value<struct route_name_tag, std::string>;
/// Version of the routing configuration as a whole; increases with each change.
using routing_version = strong_value<struct routing_version_tag, std::uint64_t>;

enum class retry_policy {
    /// May run more than once.
    idempotent,
    at_most_once,
};

struct single_target
{
    service_name service;
};

struct weighted_service
{
    service_name service;
    /// Share of the requests, relative to the other weights.
    double weight = 0;
};

/// Each request goes to one of several services.
struct split_target
{
    std::vector<weighted_service> services;
};

/// Each request goes to every shard, each a service of its own; the answers are merged.
struct shards_target
{
    std::vector<service_name> shards;
    std::size_t topRecords = 0;
    /// Minimum share of the shards, 0 to 1, in an answer.
    double minShare = 1;
};

using route_target = std::variant<single_target, split_target, shards_target>;

struct route
{
    route_name name;
    std::string host;
    std::string pathPrefix;
    retry_policy retryPolicy = retry_policy::at_most_once;
    /// Time after which a request fails.
    milliseconds timeout {0};
    /// Latency objective for answers.
    milliseconds objective {0};
    urgency_rank urgency;
    /// Maximum number of backend servers that one request may run on, for each shard.
    unsigned maxAttempts = 1;
    route_target target;
    /// Whether its requests need no key where there are client accounts.
    bool anonymous = false;
};

/// Configuration of one service's backend servers.
struct service_configuration
{
    service_name name;
    std::string healthPath;
    /// Connections that one backend server accepts from all callers together.
    unsigned connections = 1;
    /// Requests a second that a cold backend server can handle; 0 if not configured.
    double coldRequestsPerSecond = 0;
};

/// Limits on the size and duration of clients' requests.
struct client_limits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 262144;
    milliseconds headTimeout {3000};
    milliseconds idleTimeout {15000};
};

/// One version of the routing configuration.
struct routing_configuration
{
    routing_version version;
    std::vector<route> routes;
    std::map<service_name, service_configuration> services;
    client_limits limits;
    /// Empty if clients need no keys.
    std::vector<client_account> accounts;
};

/// Immutable lookup table for the routes of one configuration.
class route_table
{
public:
    explicit route_table(routing_configuration configuration);

    /// The route of the host with the longest matching path prefix, or null. The target may contain a query string.
    const route *match(std::string_view host, std::string_view target) const;
    const routing_configuration &configuration() const;
    /// Null for a service that is not in the configuration.
    const service_configuration *terms(const service_name &service) const;
    const key_directory &keys() const;
    /// Null for an account that is not in the configuration.
    const client_account *account(const account_name &name) const;

private:
    routing_configuration m_configuration;
    // By host in lower case, sorted by descending prefix length.
    std::map<std::string, std::vector<const route *>, std::less<>> m_byHost;
    std::unordered_map<account_name, const client_account *> m_accounts;
    key_directory m_keys;
};

/// Host name from a Host header, in lower case and without the port.
std::string normalizedHost(std::string_view host);

/// Smooth weighted round robin: distributes requests by weight, evenly even over short periods.
class weighted_round_robin
{
public:
    /// Index of the service for the next request; 0 if no weight is positive.
    std::size_t next(const std::vector<weighted_service> &services);

private:
    std::vector<double> m_credit;
};

} // namespace daisystile
