#pragma once

#include "extra_load_budget.h"
#include "serving_state.h"
#include <Process/process.h>

#include <map>

namespace daisystile {

/// Index of a daemon in peer_numbers.
using peer_number = strong_value<struct peer_number_tag, std::uint32_t>;
inline constexpr peer_number noPeer {UINT32_MAX};

/// Maps daemons to indexes that are stable for the lifetime of this daemon.
class peer_numbers
{
public:
    peer_number numberOf(const daemon_id &peer);
    std::optional<peer_number> find(const daemon_id &peer) const;
    const daemon_id &idOf(peer_number peer) const;

private:
    std::vector<daemon_id> m_names;
    std::unordered_map<daemon_id, peer_number> m_numbers;
};

/// Coordinator state of one service under the newest view.
struct served_service
{
    serving_state serving;
    /// Indexed by server number; noPeer for servers without an owner.
    std::vector<peer_number> owners;
    std::map<customer_id, extra_load_budget> budgets;
};

/// All services that can be queried.
class serving_table
{
public:
    /// If soleOwner is set, it is used as the owner of every server.
    void adopt(const fleet_view &view, const owner_map &owners, std::optional<peer_number> soleOwner, hedge_policy hedging, peer_numbers &peers);
    /// Returns null if the service is unknown or has no shards.
    std::shared_ptr<served_service> find(const service_name &service) const;

private:
    std::map<service_name, std::shared_ptr<served_service>> m_services;
};

} // namespace daisystile
