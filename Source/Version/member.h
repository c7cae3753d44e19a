#pragma once

#include <Process/process.h>

#include <cstdint>

namespace daisystile {

enum class member_state : std::uint8_t {
    alive,
    suspect,
    leaving,
    dead,
};

/// One daemon as the others know it.
struct member
{
    daemon_id id;
    incarnation life;
    failure_domain_name domain;
    region_name region;
    /// Peer links that carry shard requests.
    ip_address traffic;
    /// UDP gossip and TCP pulls, on the same port.
    ip_address control;
    member_state state = member_state::alive;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(id, life, domain, region, traffic, control, state);
    }
};

} // namespace daisystile
