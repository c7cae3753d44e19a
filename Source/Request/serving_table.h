#pragma once

#include "extra_load_budget.h"
#include "serving_state.h"
#include <Process/process.h>

#include <map>

namespace daisystile {

/// Position of a daemon in peer_numbers.
using peer_number = strong_value<struct peer_number_tag, std::uint32_t>;
inline constexpr peer_number noPeer {UINT32_MAX};

/// Short numbers for daemons, the same while this daemon lives.
class peer_numbers
{
public:
    peer_number numberOf(const daemon_id &peer);
    std::optional<peer_number> find(const daemon_id &peer) const;
    const daemon_id &nameOf(peer_number peer) const;

private:
    std::vector<daemon_id> m_names;
    std::unordered_map<daemon_id, peer_number> m_numbers;
};

/// One service as a coordinator serves it under the newest view.
struct served_service
{
    serving_state serving;
    /// By server number; noPeer where nobody owns the server.
    std::vector<peer_number> owners;
    std::map<customer_id, extra_load_budget> budgets;
};

/// All services that can be queried.
class serving_table
{
public:
    /// The sole owner, if set, owns every server.
    void adopt(const fleet_view &view, const owner_map &owners, std::optional<peer_number> soleOwner, hedge_policy hedging, peer_numbers &peers);
    /// Null when the service is unknown or has no shards.
    std::shared_ptr<served_service> find(const service_name &service) const;

private:
    std::map<service_name, std::shared_ptr<served_service>> m_services;
};

} // namespace daisystile
