#include "service.h"

#include "table_reader.h"

#include <set>

namespace daisystile {

namespace {

constexpr number_range mapVersionRange {1, 1e15};
constexpr number_range slotRange {1, 10000};
constexpr number_range connectionRange {1, 100000};

class service_reader
{
public:
    explicit service_reader(service &target)
        : m_service(target)
    {
    }

    void read(table_reader &reader)
    {
        reader.name("name", m_service.name.value);
        reader.choice("kind", m_service.kind, {{"query", service_kind::query}, {"execute", service_kind::execute}}, presence::required);
        const bool query = m_service.kind == service_kind::query;
        const auto need = query ? presence::required : presence::optional;
        reader.text("snapshot", m_service.snapshot.value, need);
        reader.integer("map_version", m_service.mapVersion.value, mapVersionRange, need);
        reader.tables("servers", [&](table_reader &table) { readServer(table); });
        reader.tables(
            "shards", [&](table_reader &table) { readShard(table); }, need);
        if (m_service.servers.empty()) {
            reader.addError("servers", "at least one server", "none");
        }
        if (query && m_service.shards.empty()) {
            reader.addError("shards", "at least one shard", "none");
        }
        if (!query && !m_service.shards.empty()) {
            reader.addError("shards", "no shards in an execute service", std::to_string(m_service.shards.size()));
        }
    }

private:
    void readServer(table_reader &reader)
    {
        backend_server server;
        reader.text("id", server.id.value);
        reader.name("failure_domain", server.domain.value);
        reader.address("address", server.address);
        reader.integer("slots", server.slots, slotRange);
        reader.integer("connections", server.connections, connectionRange);
        if (!server.id.value.empty() && !m_ids.insert(server.id).second) {
            reader.addError("id", "an id that no other server has", "\"" + server.id.value + "\" twice");
        }
        if (server.address.port != 0 && !m_addresses.insert(server.address).second) {
            reader.addError("address", "an address that no other server has", toString(server.address) + " twice");
        }
        m_service.servers.push_back(std::move(server));
    }

    void readShard(table_reader &reader)
    {
        std::vector<std::string> names;
        reader.texts("replicas", names);
        shard_placement placement;
        std::set<std::string> seen;
        for (auto &name : names) {
            if (m_ids.count({name}) == 0) {
                reader.addError("replicas", "ids of servers of this service", "\"" + name + "\"");
            }
            if (!seen.insert(name).second) {
                reader.addError("replicas", "each server once", "\"" + name + "\" twice");
            }
            placement.replicas.push_back({std::move(name)});
        }
        if (placement.replicas.empty()) {
            reader.addError("replicas", "at least one server", "none");
        }
        m_service.shards.push_back(std::move(placement));
    }

    service &m_service;
    std::set<backend_server_id> m_ids;
    std::set<ip_address> m_addresses;
};

} // namespace

parsed<service> parseService(std::string_view text, std::string_view fileName)
{
    return parseTable<service>(text, fileName, [](table_reader &reader, service &target) { service_reader(target).read(reader); });
}

} // namespace daisystile
