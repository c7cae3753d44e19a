#pragma once

#include "request_error.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace daisystile {

/// A server's position in server_loads; stays the same while the daemon lives.
using server_number = strong_value<struct server_number_tag, std::uint32_t>;

/// What a coordinator knows of the load of one service's servers, from the answers of their owners.
class server_loads
{
public:
    server_number numberOf(const backend_server_id &server);
    const backend_server_id &nameOf(server_number server) const;
    std::size_t size() const;

    /// Takes in what an owner sent with an answer.
    void report(server_number server, const server_load &load, monotonic_time now);
    /// An attempt that has taken so long is not answered yet; a report of less no longer counts.
    void noteSlow(server_number server, microseconds elapsed, monotonic_time now);
    void started(server_number server);
    void ended(server_number server);
    /// Nothing is sent there until the time, if another replica can be had.
    void avoid(server_number server, monotonic_time until);
    /// A server of a failure domain that is out is never chosen.
    void setOut(server_number server, bool out);
    bool avoided(server_number server, monotonic_time now) const;
    std::uint32_t outstanding(server_number server) const;

    /// Time that one more request would take; old reports count less and less.
    microseconds expected(server_number server, monotonic_time now) const;
    /// The replica to ask next, or none; salt spreads equal ones.
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
