#include "fault_proxy.h"

#include "relay_socket.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace daisystile {

using nlohmann::json;

// A port that is free for TCP may be taken for UDP.
static constexpr int portTries = 20;
static const ip_address anyPort {"127.0.0.1", 0};

fault_proxy::fault_proxy(reactor &loop, std::uint64_t seed)
    : m_loop(loop),
      m_dice(seed)
{
}

http_handler fault_proxy::controlApi()
{
    return guarded([this](const http_request &request) { return control(request); });
}

http_response fault_proxy::control(const http_request &request)
{
    const auto body = parseJson(request.body.empty() ? "{}" : request.body);
    if (!body) {
        return problemResponse(400, "the body is no JSON");
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
    for (int i = 0; i < portTries; ++i) {
        const int stream = wantsTcp ? bindSocket(SOCK_STREAM, anyPort) : -1;
        const int datagram = wantsUdp ? bindSocket(SOCK_DGRAM, wantsTcp ? boundAddress(stream) : anyPort) : -1;
        if ((wantsTcp && stream < 0) || (wantsUdp && datagram < 0)) {
            close(stream);
            continue;
        }
        auto link = std::make_unique<proxy_link>();
        link->address = boundAddress(wantsTcp ? stream : datagram);
        if (wantsTcp) {
            link->tcp = std::make_unique<tcp_relay>(m_loop, stream, link->faults, m_dice, link->counts);
        }
        if (wantsUdp) {
            link->udp = std::make_unique<udp_relay>(m_loop, datagram, link->faults, m_dice, link->counts);
        }
        m_links[name] = std::move(link);
        return true;
    }
    return false;
}

// A link that exists gets the new target and groups and keeps its address.
http_response fault_proxy::setLinks(const json &list)
{
    auto answer = json::array();
    for (const auto &object : list) {
        const auto name = object.at("name").get<std::string>();
        if (!m_links.contains(name) && !createLink(name, object.value("protocol", "tcp"))) {
            return problemResponse(503, "no port is free");
        }
        auto &link = *m_links.at(name);
        takeField(object, "groups", link.groups);
        if (object.contains("target")) {
            const auto target = parseIpAddress(object.at("target").get<std::string>());
            if (!target) {
                return problemResponse(400, "target is no IP:PORT");
            }
            if (link.tcp) {
                link.tcp->setTarget(*target);
            }
            if (link.udp) {
                link.udp->setTarget(*target);
            }
        }
        answer.push_back({{"name", name}, {"address", toString(link.address)}});
    }
    return jsonResponse(answer);
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

std::vector<proxy_link *> fault_proxy::chosen(const json &body) const
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

static void takeFaults(const json &object, link_faults &faults)
{
    if (object.value("clear", false)) {
        faults = {};
    }
    takeField(object, "delay_ms", faults.delayMs);
    takeField(object, "jitter_ms", faults.jitterMs);
    takeField(object, "loss", faults.loss);
    takeField(object, "duplicate", faults.duplicate);
    takeField(object, "reorder", faults.reorder);
    takeField(object, "reorder_ms", faults.reorderMs);
    takeField(object, "cut_forward", faults.cutForward);
    takeField(object, "cut_backward", faults.cutBackward);
    takeField(object, "half_open", faults.halfOpen);
    takeField(object, "refuse", faults.refuse);
    takeField(object, "bytes_per_second", faults.bytesPerSecond);
    if (object.contains("cut")) {
        faults.cutForward = faults.cutBackward = object.at("cut").get<bool>();
    }
}

http_response fault_proxy::setFaults(const json &body)
{
    const auto links = chosen(body);
    const auto source = body.value("source", std::string());
    const auto &set = body.at("set");
    for (auto *link : links) {
        if (source.empty() && set.value("clear", false)) {
            link->faults.clear();
        }
        takeFaults(set, link->faults.edit(source));
        if (!link->tcp) {
            continue;
        }
        if (set.value("reset", false)) {
            link->tcp->resetAll(source);
        }
        link->tcp->faultsChanged();
    }
    return jsonResponse({{"links", links.size()}});
}

} // namespace daisystile
