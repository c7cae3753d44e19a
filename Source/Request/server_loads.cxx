#include "server_loads.h"

#include <algorithm>

namespace daisystile {

// Half-life of the weight of a report, so that a server that was slow is tried again later.
static constexpr milliseconds reportHalfLife {2000};
static constexpr microseconds defaultLatency {500};
static constexpr int maxHalvings = 20;

server_number server_loads::numberOf(const backend_server_id &server)
{
    const server_number next {static_cast<std::uint32_t>(m_servers.size())};
    const auto [found, isNew] = m_numbers.try_emplace(server, next);
    if (isNew) {
        m_servers.push_back({.id = server});
    }
    return found->second;
}

const backend_server_id &server_loads::idOf(server_number server) const
{
    return m_servers[server.value].id;
}

std::size_t server_loads::size() const
{
    return m_servers.size();
}

void server_loads::report(server_number server, const server_load &load, monotonic_time now)
{
    auto &record = m_servers[server.value];
    record.load = load;
    record.reportedAt = now;
    record.reported = true;
}

void server_loads::raiseLatency(server_number server, microseconds elapsed, monotonic_time now)
{
    auto &record = m_servers[server.value];
    const auto latency = static_cast<std::uint32_t>(elapsed.count());
    if (latency > record.load.latencyUs) {
        record.load.latencyUs = latency;
        record.reportedAt = now;
        record.reported = true;
    }
}

void server_loads::started(server_number server)
{
    m_servers[server.value].outstanding += 1;
}

void server_loads::ended(server_number server)
{
    auto &outstanding = m_servers[server.value].outstanding;
    outstanding -= outstanding > 0 ? 1 : 0;
}

void server_loads::avoid(server_number server, monotonic_time until)
{
    auto &current = m_servers[server.value].avoidUntil;
    current = std::max(current, until);
}

void server_loads::setDomainOut(server_number server, bool out)
{
    m_servers[server.value].out = out;
}

bool server_loads::avoided(server_number server, monotonic_time now) const
{
    return now < m_servers[server.value].avoidUntil;
}

std::uint32_t server_loads::outstanding(server_number server) const
{
    return m_servers[server.value].outstanding;
}

microseconds server_loads::expectedLatency(server_number server, monotonic_time now) const
{
    const auto &record = m_servers[server.value];
    if (!record.reported) {
        return defaultLatency * (1 + record.outstanding);
    }
    const auto halvings = std::min<std::int64_t>((now - record.reportedAt) / reportHalfLife, maxHalvings);
    const std::uint64_t slots = std::max<std::uint64_t>(record.load.allowed, 1);
    const std::uint64_t others = std::max<std::uint64_t>(record.load.running + record.load.queued, record.outstanding) >> halvings;
    const std::uint64_t ahead = std::max<std::uint64_t>(others, record.outstanding);
    const std::uint64_t latency = std::max<std::uint64_t>(record.load.latencyUs >> halvings, 1);
    return microseconds {latency * (slots + ahead) / slots};
}

std::optional<server_number>
server_loads::choose(std::span<const server_number> replicas, std::span<const server_number> excluded, std::uint64_t salt, monotonic_time now) const
{
    std::optional<server_number> best;
    bool bestAvoided = true;
    microseconds bestExpected = microseconds::max();
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        const auto server = replicas[(salt + i) % replicas.size()];
        if (m_servers[server.value].out || std::find(excluded.begin(), excluded.end(), server) != excluded.end()) {
            continue;
        }
        const bool isAvoided = avoided(server, now);
        const auto time = expectedLatency(server, now);
        if (!best || std::pair(isAvoided, time) < std::pair(bestAvoided, bestExpected)) {
            best = server;
            bestAvoided = isAvoided;
            bestExpected = time;
        }
    }
    return best;
}

} // namespace daisystile
