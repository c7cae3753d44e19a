#pragma once

#include <Version/version.h>

#include <unordered_map>
#include <vector>

namespace daisystile {

/// Owner and runner-up of one backend server; null where there is none.
struct owner_choice
{
    /// Sends requests to the server.
    const member *owner = nullptr;
    /// Grants the owner's lease and takes over when the owner is lost.
    const member *runnerUp = nullptr;
};

/// Chooses by rendezvous hashing, first within the server's failure domain, then in its region's other domains.
/// Alive and suspect members are eligible; leaving and dead ones are not. Computes one hash per member.
owner_choice chooseOwner(const backend_server_id &server, const failure_domain_name &domain, const region_name &region, const std::vector<member> &members);

/// The owner only, without the runner-up.
const member *ownerOf(const backend_server &server, const region_name &region, const std::vector<member> &members);

/// Owners of all servers under one view, computed once so that the cost of a request does not depend on the fleet's size.
class owner_map
{
public:
    owner_map() = default;
    explicit owner_map(std::shared_ptr<const fleet_view> view);

    /// Both null for a server that is not in the catalogue.
    owner_choice find(const backend_server_id &server) const;
    const member *ownerOf(const backend_server_id &server) const;
    const std::unordered_map<backend_server_id, owner_choice> &choices() const;

private:
    // Keeps the members alive that the choices point to.
    std::shared_ptr<const fleet_view> m_view;
    std::unordered_map<backend_server_id, owner_choice> m_choices;
};

} // namespace daisystile
