#pragma once

#include "backend_server_standin.h"

namespace daisystile {

/// Control API for all backend server stand-ins of the process: creates servers, sets faults and reports records.
class backend_fleet_control
{
public:
    backend_fleet_control(reactor &loop, std::uint64_t seed);

    http_handler controlApi();

private:
    using server_list = std::vector<backend_server_standin *>;

    http_response control(const http_request &request);
    http_response createServers(const nlohmann::json &specs);
    http_response removeServers(const nlohmann::json &body);
    http_response listServers() const;
    http_response setFaults(const nlohmann::json &body);
    http_response setPlacement(const nlohmann::json &body);
    http_response setMark(const nlohmann::json &body);
    http_response records() const;
    http_response resetRecords();
    /// The servers that match any of the fields "servers", "domains" or "services"; all servers if the body has none of them.
    server_list selectedServers(const nlohmann::json &body) const;

    reactor &m_loop;
    std::uint64_t m_seed;
    execution_records m_records;
    std::map<std::string, std::unique_ptr<backend_server_standin>> m_servers;
};

} // namespace daisystile
