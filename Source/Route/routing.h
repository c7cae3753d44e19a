#pragma once

#include <Process/process.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisystile {

/// Name of a route in the configuration.
using route_name = strong_value<struct route_name_tag, std::string>;
/// Version of the whole routing configuration; grows.
using routing_version = strong_value<struct routing_version_tag, std::uint64_t>;
/// Rank of a route's requests; 0 is the most urgent.
using urgency_rank = strong_value<struct urgency_rank_tag, std::uint32_t>;

enum class repeat_rule {
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
    /// Least share of the shards, 0 to 1, that makes an answer.
    double leastShare = 1;
};

using route_target = std::variant<single_target, split_target, shards_target>;

struct route
{
    route_name name;
    std::string host;
    std::string pathPrefix;
    repeat_rule repeat = repeat_rule::at_most_once;
    /// Longest time that a request is kept waiting.
    milliseconds timeout {0};
    /// Answers within this time have their full worth to the caller.
    milliseconds objective {0};
    urgency_rank urgency;
    /// Most backend servers that one request may run on, for each shard.
    unsigned mostAttempts = 1;
    route_target target;
};

/// Terms of one service's backend servers.
struct service_terms
{
    service_name name;
    std::string healthPath;
    /// Connections that one backend server accepts from all callers together.
    unsigned connections = 1;
    /// Requests a second that a cold backend server bears; none where the configuration names no figure.
    double coldRequestsPerSecond = 0;
};

/// What a client may send and how long it may take.
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
    std::map<service_name, service_terms> services;
    client_limits limits;
};

/// Finds routes of one configuration; never changes.
class route_table
{
public:
    explicit route_table(routing_configuration configuration);

    /// The route of that host with the longest prefix of the path, or none. The target may carry a query.
    const route *match(std::string_view host, std::string_view target) const;
    const routing_configuration &configuration() const;
    /// Null for a service that the configuration doesn't describe.
    const service_terms *terms(const service_name &service) const;

private:
    routing_configuration m_configuration;
    // By host in lower case; the longest prefix first.
    std::map<std::string, std::vector<const route *>, std::less<>> m_byHost;
};

/// The host of a Host header: lower case, without a port.
std::string normalizedHost(std::string_view host);

/// Deals requests to services in proportion to their weights, evenly also over short spans.
class weighted_round_robin
{
public:
    /// Index of the service whose turn it is; 0 when no weight is positive.
    std::size_t next(const std::vector<weighted_service> &services);

private:
    std::vector<double> m_credit;
};

} // namespace daisystile
