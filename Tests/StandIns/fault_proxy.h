#pragma once

#include "standin_support.h"
#include "tcp_relay.h"
#include "udp_relay.h"

#include <set>

namespace daisystile {

/// One listening address that is relayed to one target over TCP, UDP, or both on the same port.
struct proxy_link
{
    std::set<std::string> groups;
    ip_address address;
    link_fault_table faults;
    link_counts counts;
    std::unique_ptr<tcp_relay> tcp;
    std::unique_ptr<udp_relay> udp;
};

/// Control API for all links of the process: creates links, sets their faults and reports their counts.
class fault_proxy
{
public:
    fault_proxy(reactor &loop, std::uint64_t seed);

    http_handler controlApi();

private:
    http_response control(const http_request &request);
    http_response setLinks(const nlohmann::json &list);
    http_response setFaults(const nlohmann::json &body);
    http_response listLinks() const;
    bool createLink(const std::string &name, const std::string &protocol);
    std::vector<proxy_link *> selectedLinks(const nlohmann::json &body) const;

    reactor &m_loop;
    fault_random m_faultRandom;
    std::map<std::string, std::unique_ptr<proxy_link>> m_links;
};

} // namespace daisystile
