#pragma once

#include "request_error.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace daisystile {

/// Index of a server in server_loads; stable for the lifetime of the daemon.
using server_number = strong_value<struct server_number_tag, std::uint32_t>;

/// A coordinator's load estimates for the servers of one service, based on their owners' answers.
class server_loads
{
public:
    server_number numberOf(const backend_server_id &server);
    const backend_server_id &idOf(server_number server) const;
    std::size_t size() const;

    /// Records the load that an owner reported with an answer.
    void report(server_number server, const server_load &load, monotonic_time now);
    /// Records the elapsed time of an unanswered attempt if it exceeds the known latency.
    void raiseLatency(server_number server, microseconds elapsed, monotonic_time now);
    void started(server_number server);
    void ended(server_number server);
    /// The server is not chosen until the given time if another replica is available.
    void avoid(server_number server, monotonic_time until);
    /// Marks a server whose failure domain is out of service; it is never chosen.
    void setDomainOut(server_number server, bool out);
    bool avoided(server_number server, monotonic_time now) const;
    std::uint32_t outstanding(server_number server) const;

    /// Returns the expected latency of one more request. The weight of a report decays with its age.
    microseconds expectedLatency(server_number server, monotonic_time now) const;
    /// Chooses the replica for the next attempt, if any. The salt spreads requests over equally good replicas.
    std::optional<server_number>
    choose(std::span<const server_number> replicas, std::span<const server_number> excluded, std::uint64_t salt, monotonic_time now) const;

private:
    struct server_record
    {
        backend_server_id id;
        server_load load;
        monotonic_time reportedAt;
        monotonic_time avoidUntil;
        std::uint32_t outstanding = 0;
        bool reported = false;
        bool out = false;
    };

    std::vector<server_record> m_servers;
    std::unordered_map<backend_server_id, server_number> m_numbers;
};

} // namespace daisystile
