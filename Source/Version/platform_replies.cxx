#include "platform_replies.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisystile {

namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;

platform_unavailable unexpectedStatus(int status)
{
    return {"status " + std::to_string(status)};
}

platform_object objectFrom(const nlohmann::json &json)
{
    return {json.at("key").get<std::string>(), json.value("etag", ""), json.value("value", "")};
}

watch_event eventFrom(const nlohmann::json &json)
{
    watch_event event;
    event.revision = json.at("revision").get<std::uint64_t>();
    event.object = objectFrom(json);
    event.deleted = json.value("deleted", false);
    return event;
}

ip_address addressFrom(const nlohmann::json &json, const char *key)
{
    const auto text = json.at(key).get<std::string>();
    return leaf::try_handle_all([&]() -> leaf::result<ip_address> { return parseIpAddress(text); }, [] { return ip_address {}; });
}

platform_host hostFrom(const nlohmann::json &json)
{
    platform_host host;
    host.id.value = json.at("id").get<std::string>();
    host.domain.value = json.at("domain").get<std::string>();
    host.region.value = json.value("region", "");
    host.traffic = addressFrom(json, "traffic");
    host.control = addressFrom(json, "control");
    host.leaving = json.value("state", "live") == "leaving";
    return host;
}

std::uint64_t revisionOf(const http_reply &reply)
{
    std::uint64_t revision = 0;
    const auto header = reply.headers.find("revision");
    if (header != reply.headers.end()) {
        std::from_chars(header->second.data(), header->second.data() + header->second.size(), revision);
    }
    return revision;
}

// The JSON library throws on malformed text, missing keys and wrong types.
template<class Result, class Read> Result guarded(const Read &read)
{
    try {
        return read();
    } catch (const nlohmann::json::exception &error) {
        return platform_unavailable {std::string("reply malformed: ") + error.what()};
    }
}

} // namespace

watch_result parseWatchReply(const http_reply &reply)
{
    if (reply.status == statusGone) {
        return watch_compacted {};
    }
    if (reply.status != statusOk) {
        return unexpectedStatus(reply.status);
    }
    return guarded<watch_result>([&]() -> watch_result {
        const auto json = nlohmann::json::parse(reply.body);
        watch_batch batch;
        for (const auto &event : json.at("events")) {
            batch.events.push_back(eventFrom(event));
        }
        batch.revision = json.at("revision").get<std::uint64_t>();
        return batch;
    });
}

list_result parseListReply(const http_reply &reply)
{
    if (reply.status != statusOk) {
        return unexpectedStatus(reply.status);
    }
    return guarded<list_result>([&]() -> list_result {
        object_list list;
        for (const auto &object : nlohmann::json::parse(reply.body)) {
            list.objects.push_back(objectFrom(object));
        }
        list.revision = revisionOf(reply);
        return list;
    });
}

host_result parseHostsReply(const http_reply &reply)
{
    if (reply.status != statusOk) {
        return unexpectedStatus(reply.status);
    }
    return guarded<host_result>([&]() -> host_result {
        std::vector<platform_host> hosts;
        for (const auto &host : nlohmann::json::parse(reply.body)) {
            hosts.push_back(hostFrom(host));
        }
        return hosts;
    });
}

} // namespace daisystile
