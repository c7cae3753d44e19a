#include "serving_table.h"

namespace daisystile {

peer_number peer_numbers::numberOf(const daemon_id &peer)
{
    const auto [found, isNew] = m_numbers.try_emplace(peer, peer_number {static_cast<std::uint32_t>(m_names.size())});
    if (isNew) {
        m_names.push_back(peer);
    }
    return found->second;
}

std::optional<peer_number> peer_numbers::find(const daemon_id &peer) const
{
    const auto found = m_numbers.find(peer);
    return found == m_numbers.end() ? std::nullopt : std::optional(found->second);
}

const daemon_id &peer_numbers::idOf(peer_number peer) const
{
    return m_names[peer.value];
}

static void adoptService(served_service &entry, const std::shared_ptr<const service> &catalogue)
{
    const auto &current = entry.serving.index;
    if (!current || current->catalogue != catalogue) {
        updateCatalogue(entry.serving, catalogue);
    }
}

static void adoptDomains(served_service &entry, const fleet_view &view)
{
    auto &loads = entry.serving.loads;
    for (const auto &server : entry.serving.index->catalogue->servers) {
        const auto domain = view.config->domains.find(server.domain);
        loads.setDomainOut(loads.numberOf(server.id), domain != view.config->domains.end() && domain->second.out);
    }
}

static void adoptOwners(served_service &entry, const owner_map &owners, std::optional<peer_number> soleOwner, peer_numbers &peers)
{
    auto &loads = entry.serving.loads;
    entry.owners.assign(loads.size(), noPeer);
    for (std::uint32_t i = 0; i < loads.size(); ++i) {
        if (soleOwner) {
            entry.owners[i] = *soleOwner;
        } else if (const auto *owner = owners.ownerOf(loads.idOf({i}))) {
            entry.owners[i] = peers.numberOf(owner->id);
        }
    }
}

void serving_table::adopt(const fleet_view &view, const owner_map &owners, std::optional<peer_number> soleOwner, hedge_policy hedging, peer_numbers &peers)
{
    std::erase_if(m_services, [&view](const auto &entry) { return !view.config->services.contains(entry.first); });
    for (const auto &[name, catalogue] : view.config->services) {
        if (catalogue->kind != service_kind::query || catalogue->shards.empty()) {
            continue;
        }
        auto &entry = m_services[name];
        if (!entry) {
            entry = std::make_shared<served_service>();
            entry->serving.hedging = hedging;
        }
        adoptService(*entry, catalogue);
        adoptDomains(*entry, view);
        adoptOwners(*entry, owners, soleOwner, peers);
    }
}

std::shared_ptr<served_service> serving_table::find(const service_name &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second;
}

} // namespace daisystile
