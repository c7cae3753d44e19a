#include "fault_proxy.h"

#include "relay_socket.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace daisystile {

using nlohmann::json;

// A link for both protocols retries, because a port that is free for TCP may be in use for UDP.
static constexpr int maximumPortAttempts = 20;
static const ip_address anyPort {"127.0.0.1", 0};

fault_proxy::fault_proxy(reactor &loop, std::uint64_t seed)
    : m_loop(loop),
      m_faultRandom(seed)
{
}

http_handler fault_proxy::controlApi()
{
    return handleJsonErrors([this](const http_request &request) { return control(request); });
}

http_response fault_proxy::control(const http_request &request)
{
    const auto body = parseJson(request.body.empty() ? "{}" : request.body);
    if (!body) {
        return problemResponse(400, "request body is not valid JSON");
    }
    const auto call = request.method + " " + request.path;
    if (call == "POST /links") {
        return setLinks(*body);
    }
    if (call == "GET /links") {
        return listLinks();
    }
    if (call == "POST /control/faults") {
        return setFaults(*body);
    }
    return problemResponse(404, "no such path");
}

bool fault_proxy::createLink(const std::string &name, const std::string &protocol)
{
    const bool wantsTcp = protocol != "udp";
    const bool wantsUdp = protocol != "tcp";
    for (int i = 0; i < maximumPortAttempts; ++i) {
        const int stream = wantsTcp ? bindSocket(SOCK_STREAM, anyPort) : -1;
        const int datagram = wantsUdp ? bindSocket(SOCK_DGRAM, wantsTcp ? boundAddress(stream) : anyPort) : -1;
        if ((wantsTcp && stream < 0) || (wantsUdp && datagram < 0)) {
            close(stream);
            continue;
        }
        auto link = std::make_unique<proxy_link>();
        link->address = boundAddress(wantsTcp ? stream : datagram);
        if (wantsTcp) {
            link->tcp = std::make_unique<tcp_relay>(m_loop, stream, link->faults, m_faultRandom, link->counts);
        }
        if (wantsUdp) {
            link->udp = std::make_unique<udp_relay>(m_loop, datagram, link->faults, m_faultRandom, link->counts);
        }
        m_links[name] = std::move(link);
        return true;
    }
    return false;
}

// An existing link keeps its address and gets the new target and groups.
http_response fault_proxy::setLinks(const json &list)
{
    auto created = json::array();
    for (const auto &object : list) {
        const auto name = object.at("name").get<std::string>();
        if (!m_links.contains(name) && !createLink(name, object.value("protocol", "tcp"))) {
            return problemResponse(503, "no free port");
        }
        auto &link = *m_links.at(name);
        readField(object, "groups", link.groups);
        if (object.contains("target")) {
            const auto target = parseIpAddress(object.at("target").get<std::string>());
            if (!target) {
                return problemResponse(400, "target is not IP:PORT");
            }
            if (link.tcp) {
                link.tcp->setTarget(*target);
            }
            if (link.udp) {
                link.udp->setTarget(*target);
            }
        }
        created.push_back({{"name", name}, {"address", toString(link.address)}});
    }
    return jsonResponse(created);
}

http_response fault_proxy::listLinks() const
{
    auto list = json::array();
    for (const auto &[name, link] : m_links) {
        const auto &counts = link->counts;
        list.push_back({{"name", name},
            {"address", toString(link->address)},
            {"groups", link->groups},
            {"connections", counts.connections},
            {"resets", counts.resets},
            {"bytes", counts.bytes},
            {"datagrams", counts.datagrams},
            {"dropped", counts.dropped},
            {"duplicated", counts.duplicated},
            {"reordered", counts.reordered}});
    }
    return jsonResponse(list);
}

std::vector<proxy_link *> fault_proxy::selectedLinks(const json &body) const
{
    const auto names = body.value("links", std::vector<std::string>());
    const auto groups = body.value("groups", std::vector<std::string>());
    const bool all = !body.contains("links") && !body.contains("groups");
    std::vector<proxy_link *> links;
    for (const auto &[name, link] : m_links) {
        const auto inGroup = [&entry = *link](const std::string &group) {
            return entry.groups.contains(group);
        };
        if (all || std::find(names.begin(), names.end(), name) != names.end() || std::any_of(groups.begin(), groups.end(), inGroup)) {
            links.push_back(link.get());
        }
    }
    return links;
}

static void readFaults(const json &object, link_faults &faults)
{
    if (object.value("clear", false)) {
        faults = {};
    }
    readField(object, "delay_ms", faults.delayMs);
    readField(object, "jitter_ms", faults.jitterMs);
    readField(object, "loss", faults.loss);
    readField(object, "duplicate", faults.duplicate);
    readField(object, "reorder", faults.reorder);
    readField(object, "reorder_ms", faults.reorderMs);
    readField(object, "cut_forward", faults.cutForward);
    readField(object, "cut_backward", faults.cutBackward);
    readField(object, "half_open", faults.halfOpen);
    readField(object, "refuse", faults.refuse);
    readField(object, "bytes_per_second", faults.bytesPerSecond);
    if (object.contains("cut")) {
        faults.cutForward = faults.cutBackward = object.at("cut").get<bool>();
    }
}

http_response fault_proxy::setFaults(const json &body)
{
    const auto links = selectedLinks(body);
    const auto source = body.value("source", std::string());
    const auto &set = body.at("set");
    for (auto *link : links) {
        if (source.empty() && set.value("clear", false)) {
            link->faults.clear();
        }
        readFaults(set, link->faults.edit(source));
        if (!link->tcp) {
            continue;
        }
        if (set.value("reset", false)) {
            link->tcp->resetAll(source);
        }
        link->tcp->applyFaults();
    }
    return jsonResponse({{"links", links.size()}});
}

} // namespace daisystile
