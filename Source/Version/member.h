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

/// A daemon in the membership list of the fleet.
struct member
{
    daemon_id id;
    incarnation incarnationNumber;
    failure_domain_name domain;
    region_name region;
    /// Listens for the peer connections that carry shard requests.
    ip_address traffic;
    /// Listens for UDP gossip and TCP pulls on the same port.
    ip_address control;
    member_state state = member_state::alive;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(id, incarnationNumber, domain, region, traffic, control, state);
    }
};

} // namespace daisystile
